import { sleep, type Clock } from "@lycheepulley/core";

/** Result of work that came too late to be waited for. */
export const NOT_SETTLED = Symbol("too late");

/** Resolves with the result of `work`, or with {@link NOT_SETTLED} at `endMs` or on abort. */
export const raceDeadline = async <T>(
  work: Promise<T>,
  clock: Clock,
  endMs: number,
  signal: AbortSignal,
): Promise<T | typeof NOT_SETTLED> => {
  const abort = new AbortController();
  const late = sleep(clock, endMs - clock.now(), AbortSignal.any([signal, abort.signal])).then(
    (): typeof NOT_SETTLED => NOT_SETTLED,
  );
  try {
    return await Promise.race([work, late]);
  } finally {
    abort.abort();
  }
};
