import type { Route } from "./fleetConfig.js";

/** Times of one answer's events, over all sends, against the objectives of its route. */
export class AnswerTimeline {
  readonly #receivedMs: number;
  readonly #targetMs: number;
  readonly #maxGapMs: number;
  #firstMs: number | undefined;
  #lastMs: number | undefined;
  #longestGapMs = 0;

  constructor(receivedMs: number, { targetMs, maxGapMs }: Pick<Route, "targetMs" | "maxGapMs">) {
    this.#receivedMs = receivedMs;
    this.#targetMs = targetMs;
    this.#maxGapMs = maxGapMs ?? Infinity;
  }

  /** Time from receipt to the first event, milliseconds. */
  get firstMs(): number | undefined {
    return this.#firstMs;
  }

  /** Longest time between two events, milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Records that events arrived at the monotonic time `nowMs`. */
  record(nowMs: number): void {
    this.#firstMs ??= nowMs - this.#receivedMs;
    this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - (this.#lastMs ?? nowMs));
    this.#lastMs = nowMs;
  }

  /** Time until the next event is late, milliseconds; 0 or less once the answer missed an objective. */
  getTargetLeftMs(nowMs: number): number {
    const isLate = (this.#firstMs ?? 0) > this.#targetMs || this.#longestGapMs > this.#maxGapMs;
    if (isLate) {
      return 0;
    }
    return this.#lastMs === undefined
      ? this.#receivedMs + this.#targetMs - nowMs
      : this.#lastMs + this.#maxGapMs - nowMs;
  }
}
