import type { Random } from "./random.js";

const BASE_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 1_000;
const INITIAL_TOKENS = 5;
const MAX_TOKENS = 100;

/** Limits retries to a share of first attempts, so that failures don't multiply the load. */
export class RetryBudget {
  #tokens = INITIAL_TOKENS;

  /** Adds the share of a retry that one first attempt earns. */
  earn(share: number): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share);
  }

  /** Spends one retry; false if the budget is exhausted. */
  trySpend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}

/** Exponential backoff with full jitter before retry number `retry` (from 1), milliseconds. */
export const getBackoffMs = (retry: number, random: Random): number =>
  random.next() * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** retry);
