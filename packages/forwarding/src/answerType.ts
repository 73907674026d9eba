import { Framing } from "@lycheepulley/core";

import { MAX_BUFFERED_BYTES } from "./AnswerBuffer.js";
import { getOversizedFailure, SendResult, type SendOutcome } from "./outcomes.js";
import type { AnswerFacts, AnswerHead, ForwardRequest } from "./types.js";

const STREAM_STATUS = 200;
const FIRST_OTHER_STATUS = 300;
/** Answers with this status or a higher one are no successes. */
export const FIRST_FAILURE_STATUS = 400;
/** Longest plain answer; a longer one is taken for one without end. */
const MAX_ANSWER_BYTES = 67_108_864;
/** The same for one without a declared length. */
const MAX_UNDECLARED_BYTES = 16_777_216;

/** True for an answer whose body is an event stream. */
export const isStreamAnswer = (
  head: AnswerHead | undefined,
  facts: AnswerFacts | undefined,
): boolean => head?.status === STREAM_STATUS && facts?.isEventStream === true;

/** True for a success on a route of streams that isn't one, of which nothing shows whether it is an answer. */
const lacksStream = (
  { head: { method }, route }: ForwardRequest,
  head: AnswerHead,
  facts: AnswerFacts,
): boolean =>
  route.isStream &&
  method !== "HEAD" &&
  head.status < FIRST_OTHER_STATUS &&
  !facts.isNotRun &&
  !isStreamAnswer(head, facts);

/** Length of the body that a head declares, bytes; undefined when it declares none. */
const getLength = ({ headers, framing }: AnswerHead): number | undefined => {
  const at = headers.findIndex(
    (name, index) => index % 2 === 0 && name.toLowerCase() === "content-length",
  );
  return at < 0 || framing === Framing.NoBody ? undefined : Number(headers[at + 1]);
};

/** Finds the outcome of a send whose answer is longer than any that is served, by its head. */
const refuseLength = (head: AnswerHead, facts: AnswerFacts): SendOutcome | undefined => {
  const bytes = getLength(head) ?? 0;
  if (head.status >= FIRST_FAILURE_STATUS) {
    return bytes > MAX_BUFFERED_BYTES
      ? getOversizedFailure(head, facts, MAX_BUFFERED_BYTES)
      : undefined;
  }
  return bytes > MAX_ANSWER_BYTES
    ? { result: SendResult.Broken, isInvalid: true, reason: `body of ${String(bytes)} bytes` }
    : undefined;
};

/** Finds the outcome of a send whose body declares no length and is taken for one without end; undefined for others. */
export const findEndless = (
  facts: AnswerFacts | undefined,
  bodyBytes: number,
): SendOutcome | undefined =>
  bodyBytes <= MAX_UNDECLARED_BYTES || facts?.hasLength
    ? undefined
    : {
        ...{ result: SendResult.Broken, isInvalid: true },
        reason: `body without a length over ${String(MAX_UNDECLARED_BYTES)} bytes`,
      };

/** Finds the outcome of a send whose answer can't be taken, by its head; undefined when it may be. */
export const refuseHead = (
  req: ForwardRequest,
  head: AnswerHead,
  facts: AnswerFacts,
): SendOutcome | undefined => {
  const result = SendResult.Broken;
  if (!facts.isValid) {
    return { result, reason: "answer is not the request's" };
  }
  return lacksStream(req, head, facts)
    ? { result, reason: "success without a stream", isInvalid: true }
    : refuseLength(head, facts);
};
