import { goesBefore, PROMISE_TERM_MS } from "./promise.js";

/** Interval at which room is looked for again, for each so many prompts that wait at a process. */
const LOOK_MS = 60;
const WAITING_PER_LOOK = 4;
/** The same at most for a prompt with a promise, which ends unless it is renewed. */
const MAX_PROMISED_LOOK_MS = PROMISE_TERM_MS / 2;
/** Interval at which a prompt that waits is planned again, for each so many that go before it there. */
const REPLAN_INTERVAL_MS = 15;
const BEFORE_PER_REPLAN = 2;

/** Time after which room is looked for again for one of `waiting` prompts that is promised `tokens`, milliseconds. */
export const getLookMs = (waiting: number, { tokens }: { readonly tokens: number }): number => {
  const lookMs = LOOK_MS * Math.max(1, waiting / WAITING_PER_LOOK);
  return tokens > 0 ? Math.min(MAX_PROMISED_LOOK_MS, lookMs) : lookMs;
};

/** Time after which a prompt with `before` others before it is planned again, milliseconds. */
export const getReplanMs = (before: number): number =>
  REPLAN_INTERVAL_MS * Math.max(1, before / BEFORE_PER_REPLAN);

/** Number of those that wait and go before the one with this id. */
export const countBefore = (
  waiting: ReadonlyMap<string, { readonly place: number }>,
  id: string,
): number => {
  const own = { id, place: waiting.get(id)?.place ?? 0 };
  return [...waiting].filter(([other, { place }]) => goesBefore({ id: other, place }, own)).length;
};
