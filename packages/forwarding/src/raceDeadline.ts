import type { Clock } from "@lycheepulley/core";

/** Result of {@link raceDeadline} when the work didn't settle in time. */
export const NOT_SETTLED = Symbol("not settled");

/**
 * Resolves with the result of `work`, or with {@link NOT_SETTLED} on abort or at
 * the monotonic time `deadlineAtMs`.
 */
export const raceDeadline = <T>(
  work: Promise<T>,
  clock: Clock,
  deadlineAtMs: number,
  signal: AbortSignal,
): Promise<T | typeof NOT_SETTLED> =>
  new Promise((resolve, reject) => {
    const clear = (): void => {
      cancel();
      signal.removeEventListener("abort", expire);
    };
    const expire = (): void => {
      clear();
      resolve(NOT_SETTLED);
    };
    const cancel = clock.setTimer(expire, deadlineAtMs - clock.now());
    if (signal.aborted) {
      expire();
    } else {
      signal.addEventListener("abort", expire);
    }
    work.then(
      (value) => {
        clear();
        resolve(value);
      },
      (err: unknown) => {
        clear();
        reject(err instanceof Error ? err : new Error(String(err)));
      },
    );
  });
