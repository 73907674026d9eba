import { SendResult, type SendOutcome } from "./outcomes.js";
import type { AnswerFacts, AnswerHead, ForwardRequest } from "./types.js";

const STREAM_STATUS = 200;
const FIRST_OTHER_STATUS = 300;

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
    : undefined;
};
