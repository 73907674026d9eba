/** Longest delay that timers of the runtime take; they fire at once after a longer one. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * A time-out as timers, signals and HTTP clients take it: whole milliseconds, at least one since
 * some take zero for none.
 */
export const toTimerMs = (ms: number): number =>
  ms > 1 ? Math.min(MAX_TIMER_MS, Math.ceil(ms)) : 1;

/** Cancels a timer; does nothing if the timer has already fired. */
export type Cancel = () => void;

/** Source of time and timers, replaceable in tests. */
export interface Clock {
  /** Monotonic time in milliseconds, for lease terms and deadlines. */
  now(): number;
  /** Wall-clock time in milliseconds since the epoch, for timestamps in records. */
  wall(): number;
  /** Runs `fn` after `delayMs`. */
  setTimer(fn: () => void, delayMs: number): Cancel;
}

/** Clocks and timers of the running process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  setTimer(fn: () => void, delayMs: number): Cancel {
    const timer = setTimeout(fn, toTimerMs(delayMs));
    return () => {
      clearTimeout(timer);
    };
  }
}

/** Resolves after `delayMs`, or immediately when `signal` aborts. */
export const sleep = (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const done = (): void => {
      cancel();
      signal?.removeEventListener("abort", done);
      resolve();
    };
    const cancel = clock.setTimer(done, delayMs);
    signal?.addEventListener("abort", done);
  });

/** Thrown by {@link withTimeout} when the time-out expires. */
export class TimeoutError extends Error {
  constructor(what: string, timeoutMs: number) {
    super(`${what}: no answer within ${String(Math.round(timeoutMs))} ms`);
    this.name = "TimeoutError";
  }
}

/** Rejects with a {@link TimeoutError} when `work` takes longer than `timeoutMs`. */
export const withTimeout = <T>(
  work: Promise<T>,
  options: { clock: Clock; timeoutMs: number; what: string },
): Promise<T> =>
  new Promise((resolve, reject) => {
    const cancel = options.clock.setTimer(() => {
      reject(new TimeoutError(options.what, options.timeoutMs));
    }, options.timeoutMs);
    work.then(
      (value) => {
        cancel();
        resolve(value);
      },
      (err: unknown) => {
        cancel();
        reject(err instanceof Error ? err : new Error(String(err)));
      },
    );
  });
