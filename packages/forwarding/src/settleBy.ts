import { sleep, type Clock } from "@lycheepulley/core";

/** Result of work that came too late to be waited for. */
export const TOO_LATE = Symbol("too late");

/** Resolves with the result of `work`, or with {@link TOO_LATE} at `endMs` or on abort. */
export const settleBy = async <T>(
  work: Promise<T>,
  clock: Clock,
  endMs: number,
  signal: AbortSignal,
): Promise<T | typeof TOO_LATE> => {
  const abort = new AbortController();
  const late = sleep(clock, endMs - clock.now(), AbortSignal.any([signal, abort.signal])).then(
    (): typeof TOO_LATE => TOO_LATE,
  );
  try {
    return await Promise.race([work, late]);
  } finally {
    abort.abort();
  }
};
