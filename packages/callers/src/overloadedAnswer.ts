import { PulleyError, Step, Verdict } from "@lycheepulley/core";

import { newErrorBody } from "./errorAnswer.js";

const MS_PER_S = 1_000;
const HTTP_TOO_MANY = 429;

/** Rejects work that has waited too long for this process. */
export const newOverloadedError = (retryAfterMs: number): PulleyError =>
  new PulleyError("not run: this process is overloaded", {
    ...{ code: "overloaded", step: Step.Accept, verdict: Verdict.RefusedUntil },
    ...{ status: HTTP_TOO_MANY, retryAfterMs },
  });

/** The whole answer to a connection that is rejected before its request is read. */
export const newOverloadedAnswer = (retryAfterMs: number): string => {
  const body = JSON.stringify(newErrorBody(newOverloadedError(retryAfterMs), ""));
  return [
    ...["HTTP/1.1 429 Too Many Requests", "Content-Type: application/json"],
    ...[`Content-Length: ${String(Buffer.byteLength(body))}`, "Connection: close"],
    ...[`Retry-After: ${String(Math.ceil(retryAfterMs / MS_PER_S))}`, "", body],
  ].join("\r\n");
};
