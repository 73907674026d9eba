import type { EndReport } from "@lycheepulley/core";

import { Repeat, type Route } from "./fleetConfig.js";
import type { AnswerFacts, AnswerHead } from "./types.js";

/** Result of one send to an upstream. */
export const SendResult = {
  /** The whole answer went to the caller. */
  Delivered: "delivered",
  /** No byte reached the upstream. */
  Unsent: "unsent",
  /** KV memory for the prompt couldn't be reserved; nothing was sent. */
  NoMemory: "no_memory",
  /** The upstream states that it didn't run the request. */
  NotRun: "not_run",
  /** The upstream answered with an error. */
  Failed: "failed",
  /** The answer was cut off, stalled or belonged to another request. */
  Broken: "broken",
  /** The answer ended in order, without framing, and may not be whole. */
  Doubtful: "doubtful",
  /** The caller disconnected. */
  Cancelled: "cancelled",
  /** The request's deadline passed. */
  TimedOut: "timed_out",
  /** This process ended before the request. */
  Leaving: "leaving",
  /** This process failed to handle the answer. */
  Internal: "internal",
  /** Another send of the request took over. */
  Superseded: "superseded",
} as const;
export type SendResult = (typeof SendResult)[keyof typeof SendResult];

/** Whole answer of an upstream. */
export interface BufferedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Outcome of one send, with what the retry decision needs. */
export interface SendOutcome {
  readonly result: SendResult;
  readonly reason: string;
  /** How the answer ended; undefined for one that didn't. */
  readonly end?: EndReport | undefined;
  /** The connection ended in the middle of the answer, or before it. */
  readonly isCut?: boolean;
  /** The upstream sent what is no answer, which shows a fault of its own and no crash. */
  readonly isInvalid?: boolean;
  /** Complete answer of the upstream, buffered until the retry decision. */
  readonly answer?: BufferedAnswer;
  /** Address of the upstream at fault, when it isn't the one that the request was sent to. */
  readonly faultAddress?: string | undefined;
}

/** Statuses from which a caller concludes that its request never ran. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Answers with this status or a higher one are failures of the upstream. */
export const FIRST_ERROR_STATUS = 500;

/** The failure that a complete answer tells; undefined for an answer to pass on. */
export const getFailure = (
  answer: BufferedAnswer,
  { isNotRun, faultAddress }: AnswerFacts,
): SendOutcome | undefined => {
  const { status } = answer.head;
  const reason = `status ${String(status)}`;
  if (isNotRun) {
    return { result: SendResult.NotRun, answer, faultAddress, reason: `${reason}, not run` };
  }
  if (NOT_RUN_STATUSES.has(status)) {
    // Passed on, it would promise what the upstream doesn't say.
    const doubt = `${reason} without a word that it didn't run`;
    return { result: SendResult.Failed, faultAddress, reason: doubt };
  }
  return status >= FIRST_ERROR_STATUS
    ? { result: SendResult.Failed, answer, faultAddress, reason }
    : undefined;
};

/** The outcome of a failure whose body is too long to be buffered, and may have no end. */
export const getOversizedFailure = (
  { status }: AnswerHead,
  facts: AnswerFacts | undefined,
  maxBytes: number,
): SendOutcome => ({
  result: facts?.isNotRun ? SendResult.NotRun : SendResult.Failed,
  reason: `status ${String(status)}, body over ${String(maxBytes)} bytes`,
  faultAddress: facts?.faultAddress,
});

/** What to do after a send. */
export const NextStep = {
  Done: "done",
  Retry: "retry",
  /** Answer that the request didn't run. */
  Reject: "refuse",
  /** Answer that the request may have run. */
  Fail: "fail",
  /** Pass the upstream's error answer on. */
  Deliver: "deliver",
  /** Await another send of the request that is in flight. */
  Wait: "wait",
} as const;
export type NextStep = (typeof NextStep)[keyof typeof NextStep];

/** No retry is made with less time left. */
const MIN_RETRY_MS = 60;
/** Sends of one request that may fail before a byte reaches an upstream. */
const MAX_UNSENT = 6;

/** Results that leave no time for another send. */
const FINAL_RESULTS: ReadonlySet<SendResult> = new Set([SendResult.TimedOut, SendResult.Leaving]);

/** What is known of a request's sends so far. */
export interface SendHistory {
  /** Sends whose bytes may have reached an upstream. */
  readonly sends: number;
  readonly unsent: number;
  /** Other sends that are still in flight. */
  readonly inFlight: number;
  /** One of the sends may have run the request. */
  readonly mayHaveRun: boolean;
  readonly timeLeftMs: number;
  /** The caller has nothing of the answer, or another send can go on with it. */
  readonly canGoOn: boolean;
  /** Takes one retry from the retry budget; false when it is exhausted. */
  readonly trySpend: () => boolean;
}

/** Tells whether a request may run again when an earlier send may have run it. */
export const canRepeat = (route: Route): boolean =>
  route.isStream ? route.isResumable : route.repeat === Repeat.Idempotent;

const rejectOrFail = (mayHaveRun: boolean): NextStep =>
  mayHaveRun ? NextStep.Fail : NextStep.Reject;

/** Step to take when no further send is made. */
const getFinalStep = (
  outcome: SendOutcome,
  { mayHaveRun }: Pick<SendHistory, "mayHaveRun">,
): NextStep =>
  outcome.answer && outcome.result === SendResult.Failed
    ? NextStep.Deliver
    : rejectOrFail(mayHaveRun);

/** True when another send could still bring the caller's answer to its end. */
const allowsSend = ({ canGoOn, timeLeftMs }: SendHistory): boolean =>
  canGoOn && timeLeftMs >= MIN_RETRY_MS;

/** Decides what follows a send; takes from the retry budget only for a retry. */
export const decideNext = (route: Route, outcome: SendOutcome, history: SendHistory): NextStep => {
  const { result } = outcome;
  if (result === SendResult.Delivered || result === SendResult.Cancelled) {
    return NextStep.Done;
  }
  if (result === SendResult.Superseded || history.inFlight > 0) {
    return NextStep.Wait;
  }
  if (FINAL_RESULTS.has(result) || !allowsSend(history)) {
    return getFinalStep(outcome, history);
  }
  if (result === SendResult.Unsent || result === SendResult.NoMemory) {
    return history.unsent < MAX_UNSENT ? NextStep.Retry : getFinalStep(outcome, history);
  }
  const maySend =
    result !== SendResult.Internal &&
    history.sends < route.maxAttempts &&
    (result === SendResult.NotRun || canRepeat(route));
  return maySend && history.trySpend() ? NextStep.Retry : getFinalStep(outcome, history);
};

/** Tells whether another send may follow while a stalled one is in flight. */
export const canReplaceStalled = (
  route: Route,
  { sends, timeLeftMs }: Pick<SendHistory, "sends" | "timeLeftMs">,
): boolean => canRepeat(route) && sends < route.maxAttempts && timeLeftMs >= MIN_RETRY_MS;
