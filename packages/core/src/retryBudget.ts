import type { Random } from "./random.js";

const BASE_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 1_000;
const MIN_TOKENS = 5;
const MAX_TOKENS = 100;

/** Allows retries as a share of first attempts, so that failures don't multiply load. */
export class RetryBudget {
  #tokens = MIN_TOKENS;

  /** Adds the share that one first attempt earns. */
  earn(share: number): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share);
  }

  /** Takes one retry; false when the budget is spent. */
  trySpend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}

/** Full-jitter backoff before retry number `retry` (from 1), milliseconds. */
export const getBackoffMs = (retry: number, random: Random): number =>
  random.next() * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** retry);
