import { sleep, type Clock } from "./clock.js";

/** Weights of a new sample, and margin in deviations, of RFC 6298. */
const SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const MARGIN_DEVIATIONS = 4;

/** Time after which an answer of a dependency is overdue, by how long its answers take. */
export class ResponseTimeout {
  readonly #minMs: number;
  readonly #maxMs: number;
  #meanMs: number | undefined;
  #deviationMs = 0;
  #backoff = 1;

  /** The time-out is never below `minMs` nor above `maxMs`. */
  constructor({ minMs, maxMs }: { minMs: number; maxMs: number }) {
    this.#minMs = minMs;
    this.#maxMs = maxMs;
  }

  /** The time-out now, milliseconds. */
  get ms(): number {
    const expectedMs = (this.#meanMs ?? 0) + MARGIN_DEVIATIONS * this.#deviationMs;
    return Math.min(this.#maxMs, this.#backoff * Math.max(this.#minMs, expectedMs));
  }

  /** Records the time that an answer took. */
  observe(tookMs: number): void {
    this.#backoff = 1;
    if (this.#meanMs === undefined) {
      this.#meanMs = tookMs;
      this.#deviationMs = tookMs / 2;
      return;
    }
    const errorMs = tookMs - this.#meanMs;
    this.#meanMs += SMOOTHING * errorMs;
    this.#deviationMs += DEVIATION_SMOOTHING * (Math.abs(errorMs) - this.#deviationMs);
  }

  /** Records that no answer came in time, which doubles the time-out until the next one. */
  onTimeout(): void {
    this.#backoff = this.ms < this.#maxMs ? 2 * this.#backoff : this.#backoff;
  }
}

/** Thrown when a dependency gave no answer to any of the calls that were made. */
export class NoAnswerError extends Error {
  constructor(
    readonly limitMs: number,
    readonly calls: number,
  ) {
    super(`no answer to ${String(calls)} calls within ${String(limitMs)} ms`);
    this.name = "NoAnswerError";
  }
}

/** The first answer; rejects with the error of the newest call once all have failed. */
const getFirst = <T>(calls: readonly Promise<T>[]): Promise<T> =>
  Promise.any(calls).catch((err: unknown) => {
    throw err instanceof AggregateError ? err.errors.at(-1) : err;
  });

/**
 * Makes an idempotent call, and again whenever its answer is overdue, while the earlier ones go on: a
 * dependency may be slow, or the connection dead. Resolves to the first answer and aborts the others; rejects
 * with the newest error once all calls have failed.
 *
 * @throws {NoAnswerError} when there is no answer `limitMs` after the first call
 */
export const callUntilAnswered = async <T>(
  call: (signal: AbortSignal) => Promise<T>,
  { clock, timeout, limitMs }: { clock: Clock; timeout: ResponseTimeout; limitMs: number },
): Promise<T> => {
  const abort = new AbortController();
  const untilMs = clock.now() + limitMs;
  const calls: Promise<{ answer: T }>[] = [];
  const start = async (): Promise<{ answer: T }> => {
    const startMs = clock.now();
    const answer = await call(abort.signal);
    timeout.observe(clock.now() - startMs);
    return { answer };
  };
  try {
    for (;;) {
      const leftMs = untilMs - clock.now();
      if (leftMs <= 0) {
        throw new NoAnswerError(limitMs, calls.length);
      }
      const attempt = start();
      // A call that fails after the first answer has nobody to tell.
      attempt.catch(() => undefined);
      calls.push(attempt);
      const waited = new AbortController();
      const overdue = sleep(clock, Math.min(timeout.ms, leftMs), waited.signal);
      const first = await Promise.race([getFirst(calls), overdue]).finally(() => {
        waited.abort();
      });
      if (first) {
        return first.answer;
      }
    }
  } finally {
    abort.abort();
  }
};
