import { Closing, getFraming, newEndReport, type AnswerEnd } from "@lycheepulley/core";
import type { Dispatcher } from "undici";

/** Message of errors on answers that may be parts. */
export const UNKNOWN_END = "the end of the answer isn't known";

/**
 * Tells how an answer ended that undici read without an error. It takes each end of a connection for that of
 * an answer without framing.
 */
export const getReadEnd = (
  method: Dispatcher.HttpMethod,
  { statusCode: status, headers }: Pick<Dispatcher.ResponseData, "statusCode" | "headers">,
): AnswerEnd =>
  newEndReport({
    framing: getFraming(method, { status, headers }),
    closing: Closing.Unknown,
    isComplete: true,
  }).end;

/** True for a JSON value whose text can't be a part of a longer one. */
export const delimitsItself = (json: unknown): json is object =>
  typeof json === "object" && json !== null;
