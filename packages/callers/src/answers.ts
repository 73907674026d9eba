import type { ServerResponse } from "node:http";

import {
  Framing,
  getFraming,
  Verdict,
  type PromptRequest,
  type PulleyError,
  type ServiceRequest,
} from "@lycheepulley/core";
import { sendJson } from "@lycheepulley/http";

import { newCompletionBody } from "./completionBody.js";
import { toPulleyError } from "./errorAnswer.js";
import type { ParsedPrompt } from "./parse.js";
import type { AcceptedRequest } from "./types.js";

/** A prompt that was accepted and parsed. */
export interface PromptCall {
  readonly accepted: AcceptedRequest;
  readonly request: PromptRequest;
  readonly parsed: ParsedPrompt;
  readonly abort: AbortController;
}

/** Converts an error of a request that was handed on, which may have run. */
export const toHandedOnError = (err: unknown): PulleyError =>
  toPulleyError(err, Verdict.MayHaveRun);

/** Runs a call of a plain service and sends its answer. */
export const sendServiceAnswer = async (
  res: ServerResponse,
  accepted: AcceptedRequest,
  request: ServiceRequest,
): Promise<void> => {
  try {
    const outcome = await accepted.runService(request);
    const { status, body } = outcome;
    const { method } = request;
    const hasBody = getFraming(method, { status, headers: {} }) !== Framing.NoBody;
    res.writeHead(status, {
      "content-type": outcome.contentType,
      // Without a length, an answer to HTTP/1.0 would end with its connection.
      ...(hasBody ? { "content-length": String(Buffer.byteLength(body)) } : {}),
      "x-request-id": accepted.requestId,
      ...(outcome.isReplay ? { "x-replayed": "true" } : {}),
    });
    res.end(body);
  } catch (err) {
    throw toHandedOnError(err);
  }
};

/** Runs a prompt and sends its whole answer. */
export const sendCompletion = async (res: ServerResponse, call: PromptCall): Promise<void> => {
  try {
    await runCompletion(res, call);
  } catch (err) {
    throw toHandedOnError(err);
  }
};

const runCompletion = async (res: ServerResponse, call: PromptCall): Promise<void> => {
  const { accepted, request, parsed, abort } = call;
  res.on("close", () => {
    abort.abort();
  });
  const parts: string[] = [];
  const outcome = await accepted.runPrompt(request, {
    onChunk: (chunk) => {
      parts.push(chunk.text);
    },
  });
  const text = outcome.replayed ?? parts.join("");
  sendJson(
    res,
    200,
    newCompletionBody(accepted.requestId, request.path, parsed.model, text, outcome),
    {
      "x-request-id": accepted.requestId,
      ...(outcome.replayed === undefined ? {} : { "x-replayed": "true" }),
    },
  );
};
