import type { ServerResponse } from "node:http";

import { PulleyError, Step, Verdict, type PulleyErrorOptions } from "@lycheepulley/core";
import { BodyTooLargeError, FloodedBodyError, sendJson } from "@lycheepulley/http";

const MS_PER_S = 1_000;
const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_LARGE = 413;

/**
 * Converts anything thrown to a {@link PulleyError}. Other errors get the given verdict; "not run"
 * is only true of errors before the request was handed on.
 */
export const toPulleyError = (err: unknown, verdict: Verdict = Verdict.NotRun): PulleyError => {
  if (err instanceof PulleyError) {
    return err;
  }
  const fault = findBodyFault(err);
  return new PulleyError(err instanceof Error ? err.message : String(err), {
    step: verdict === Verdict.NotRun ? Step.Accept : Step.Reply,
    verdict,
    ...(fault ?? { code: "internal_error", status: 500 }),
    cause: err,
  });
};

/** What is wrong with a body that wasn't read to its end. */
const findBodyFault = (
  err: unknown,
): Pick<PulleyErrorOptions, "code" | "status" | "param"> | undefined => {
  const param = "(body)";
  if (err instanceof BodyTooLargeError) {
    return { code: "body_too_large", status: HTTP_TOO_LARGE, param };
  }
  return err instanceof FloodedBodyError
    ? { code: "body_in_too_many_chunks", status: HTTP_BAD_REQUEST, param }
    : undefined;
};

/** Builds the documented JSON body of an error. */
export const newErrorBody = (err: PulleyError, requestId: string): Record<string, unknown> => ({
  error: {
    message: err.message,
    type: err.verdict,
    code: err.code,
    param: err.param ?? null,
    verdict: err.verdict,
    step: err.step,
    peer: err.peer,
    request_id: requestId,
    ...(err.retryAfterMs === undefined
      ? {}
      : { retry_at: new Date(Date.now() + err.retryAfterMs).toISOString() }),
  },
});

/** Sends an error as the answer to a request. */
export const sendError = (res: ServerResponse, err: PulleyError, requestId: string): void => {
  const headers: Record<string, string> = { "x-request-id": requestId };
  if (err.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.max(1, Math.ceil(err.retryAfterMs / MS_PER_S)));
  }
  if (err.verdict === Verdict.MayHaveRun) {
    // Keeps client libraries from retrying on their own, as the request may have run.
    headers["x-should-retry"] = "false";
  }
  sendJson(res, err.status, newErrorBody(err, requestId), headers);
};
