import type { Clock } from "../clock.js";

const WINDOW_MS = 1_000;

interface Counts {
  taken: number;
  rejected: number;
}

/** Counts what was taken in and what was rejected in the last second or two. */
export class RejectionWindow {
  readonly #clock: Clock;
  #startMs = -Infinity;
  #current: Counts = { taken: 0, rejected: 0 };
  #previous: Counts = { taken: 0, rejected: 0 };

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(isRejected: boolean): void {
    this.#roll();
    this.#current[isRejected ? "rejected" : "taken"] += 1;
  }

  /** Time that it takes to serve what was rejected within a second, at the rate of that time. */
  getBacklogMs(): number {
    this.#roll();
    const taken = this.#current.taken + this.#previous.taken;
    const rejected = this.#current.rejected + this.#previous.rejected;
    return (WINDOW_MS * rejected) / Math.max(1, taken);
  }

  #roll(): void {
    const now = this.#clock.now();
    const passedMs = now - this.#startMs;
    if (passedMs < WINDOW_MS) {
      return;
    }
    this.#previous = passedMs < 2 * WINDOW_MS ? this.#current : { taken: 0, rejected: 0 };
    this.#current = { taken: 0, rejected: 0 };
    this.#startMs = now;
  }
}
