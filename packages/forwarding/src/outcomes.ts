import { Repeat, type Route } from "./fleetConfig.js";
import type { AnswerHead } from "./types.js";

/** What one send to an upstream came to. */
export const SendResult = {
  /** The whole answer went to the caller. */
  Delivered: "delivered",
  /** No byte reached the upstream. */
  Unsent: "unsent",
  /** Memory that the prompt needs wasn't free after all; nothing was sent. */
  NoMemory: "no_memory",
  /** The upstream states that it didn't run the request. */
  NotRun: "not_run",
  /** The upstream answered with a failure of its own. */
  Failed: "failed",
  /** The answer was cut, fell silent or wasn't the request's. */
  Broken: "broken",
  /** The caller left. */
  Cancelled: "cancelled",
  /** The request's time ended. */
  TimedOut: "timed_out",
} as const;
export type SendResult = (typeof SendResult)[keyof typeof SendResult];

/** Whole answer of an upstream. */
export interface BufferedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  /** Its end could be told from a cut. */
  readonly isFramed: boolean;
}

/** Result of one send with what decides about another. */
export interface SendOutcome {
  readonly result: SendResult;
  readonly reason: string;
  /** Whole answer of the upstream, kept back for the decision. */
  readonly answer?: BufferedAnswer;
  /** Address of the upstream at fault, when another than the one asked. */
  readonly faultAddress?: string | undefined;
}

/** What to do after a send. */
export const NextStep = {
  Done: "done",
  Retry: "retry",
  /** Answer that it didn't run. */
  Reject: "refuse",
  /** Answer that it may have run. */
  Fail: "fail",
  /** Pass the upstream's failure on. */
  Deliver: "deliver",
} as const;
export type NextStep = (typeof NextStep)[keyof typeof NextStep];

const MIN_RETRY_MS = 60;
const MAX_UNSENT = 6;

/** Facts about a request's sends so far. */
export interface SendHistory {
  /** Sends whose bytes may have reached an upstream. */
  readonly sends: number;
  readonly unsent: number;
  /** A run may have begun in one of the sends. */
  readonly mayHaveRun: boolean;
  readonly timeLeftMs: number;
  /** Takes one repeat from the shared budget. */
  readonly trySpend: () => boolean;
}

/** Tells whether a request may run again after a run in doubt. */
export const canRepeat = (route: Route): boolean =>
  route.isStream ? route.isResumable : route.repeat === Repeat.Idempotent;

const giveUp = (mayHaveRun: boolean): NextStep => (mayHaveRun ? NextStep.Fail : NextStep.Reject);

/** What to do when no further send is made. */
const endWith = (outcome: SendOutcome, mayHaveRun: boolean): NextStep =>
  outcome.answer && outcome.result === SendResult.Failed ? NextStep.Deliver : giveUp(mayHaveRun);

/** Decides what follows a send; takes from the budget only for a retry. */
export const decideNext = (route: Route, outcome: SendOutcome, history: SendHistory): NextStep => {
  const { result } = outcome;
  if (result === SendResult.Delivered || result === SendResult.Cancelled) {
    return NextStep.Done;
  }
  if (result === SendResult.TimedOut || history.timeLeftMs < MIN_RETRY_MS) {
    return endWith(outcome, history.mayHaveRun);
  }
  if (result === SendResult.Unsent || result === SendResult.NoMemory) {
    return history.unsent < MAX_UNSENT ? NextStep.Retry : giveUp(history.mayHaveRun);
  }
  const maySend =
    history.sends < route.maxAttempts && (result === SendResult.NotRun || canRepeat(route));
  return maySend && history.trySpend() ? NextStep.Retry : endWith(outcome, history.mayHaveRun);
};
