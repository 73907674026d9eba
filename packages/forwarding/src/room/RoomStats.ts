/** Errors of predictions that are kept. */
const MAX_ERRORS = 256;

/** Counts of what became of waiting prompts and of promises, for metrics. */
export interface RoomCounts {
  /** Prompts that wait for KV memory, by route. */
  readonly waiting: Readonly<Record<string, number>>;
  /** KV memory that prompts of this process are promised, in tokens. */
  readonly promisedTokens: number;
  /** Promises since the start by what became of them: used, lapsed or returned. */
  readonly promises: Readonly<Record<string, number>>;
  /** Prompts rejected since the start by cause. */
  readonly rejected: Readonly<Record<string, number>>;
  /** Differences between promised and actual waits lately, milliseconds, sorted. */
  readonly errorsMs: readonly number[];
}

/** Counts promises and rejections of one process. */
export class RoomStats {
  readonly #promises: Record<string, number> = { used: 0, lapsed: 0, returned: 0 };
  readonly #rejected: Record<string, number> = {};
  readonly #errorsMs: number[] = [];

  countPromise(outcome: "used" | "lapsed" | "returned"): void {
    this.#promises[outcome] = (this.#promises[outcome] ?? 0) + 1;
  }

  countRejected(cause: string): void {
    this.#rejected[cause] = (this.#rejected[cause] ?? 0) + 1;
  }

  recordError(ms: number): void {
    this.#errorsMs.push(Math.abs(ms));
    if (this.#errorsMs.length > MAX_ERRORS) {
      this.#errorsMs.shift();
    }
  }

  getCounts(now: Pick<RoomCounts, "waiting" | "promisedTokens">): RoomCounts {
    return {
      ...now,
      promises: { ...this.#promises },
      rejected: { ...this.#rejected },
      errorsMs: [...this.#errorsMs].sort((a, b) => a - b),
    };
  }
}
