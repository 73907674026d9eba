import { getMessage } from "@lycheepulley/core";
import { BodyTooLargeError, FloodedBodyError } from "@lycheepulley/http";

import type { Rejection } from "./AdmissionPolicy.js";
import { InvalidBodyError } from "./BrokenBodies.js";
import type { AdmissionProgress } from "./progress.js";

const BUFFERS_FULL_RETRY_MS = 500;
/** Another process may not meet the error that ended the request here. */
const INTERNAL_ERROR_RETRY_MS = 500;

/** Thrown when the request bodies being received exceed their limit. */
export class BuffersFullError extends Error {}

/** The answer to a request that an error ended. */
export interface FailureAnswer extends Rejection {
  /** False for an error of the process itself. */
  readonly isExpected: boolean;
  /** The connection ends after the answer. */
  readonly closes: boolean;
}

/** The answer for an error that ended a request, which says whether it may have run. */
export const toFailureAnswer = (
  err: unknown,
  { isForwarded }: Pick<AdmissionProgress, "isForwarded">,
): FailureAnswer => {
  if (err instanceof BodyTooLargeError) {
    return { status: 413, message: getMessage(err), isExpected: true, closes: true };
  }
  if (err instanceof InvalidBodyError) {
    return { status: 400, message: getMessage(err), isExpected: true, closes: true };
  }
  if (err instanceof FloodedBodyError) {
    return { status: 400, message: `not run: ${getMessage(err)}`, isExpected: true, closes: true };
  }
  if (err instanceof BuffersFullError) {
    const message = "not run: too many bodies in memory";
    const retryAfterMs = BUFFERS_FULL_RETRY_MS;
    return { status: 503, message, retryAfterMs, isExpected: true, closes: true };
  }
  if (isForwarded) {
    const message = "may have run: internal error";
    return { status: 502, message, isExpected: false, closes: false };
  }
  const message = "not run: internal error";
  const retryAfterMs = INTERNAL_ERROR_RETRY_MS;
  return { status: 503, message, retryAfterMs, isExpected: false, closes: false };
};
