import { sleep, type Clock } from "@lycheepulley/core";

/** Result of {@link raceDeadline} when the work didn't settle in time. */
export const NOT_SETTLED = Symbol("not settled");

/**
 * Resolves with the result of `work`, or with {@link NOT_SETTLED} on abort or at
 * the monotonic time `deadlineAtMs`.
 */
export const raceDeadline = async <T>(
  work: Promise<T>,
  clock: Clock,
  deadlineAtMs: number,
  signal: AbortSignal,
): Promise<T | typeof NOT_SETTLED> => {
  const abort = new AbortController();
  const deadline = sleep(
    clock,
    deadlineAtMs - clock.now(),
    AbortSignal.any([signal, abort.signal]),
  ).then((): typeof NOT_SETTLED => NOT_SETTLED);
  try {
    return await Promise.race([work, deadline]);
  } finally {
    abort.abort();
  }
};
