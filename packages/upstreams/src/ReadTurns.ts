import type { Clock } from "@lycheepulley/core";

/** Share of the time that passes between two turns of what was put off, and its bounds. */
const SHARE = 0.25;
const MIN_MS = 1;
const MAX_MS = 10;

/** Runs what was put off in later turns of the event loop, for a share of its time, in the order in which it came. */
export class ReadTurns {
  readonly #clock: Clock;
  readonly #waiting: (() => void)[] = [];
  #endMs: number;
  #isFollowing = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#endMs = clock.now();
  }

  /** Calls `fn` in a later turn. */
  wait(fn: () => void): void {
    this.#waiting.push(fn);
    this.#follow();
  }

  #follow(): void {
    if (this.#isFollowing || this.#waiting.length === 0) {
      return;
    }
    this.#isFollowing = true;
    setImmediate(() => {
      const startMs = this.#clock.now();
      const untilMs = startMs + Math.min(MAX_MS, Math.max(MIN_MS, SHARE * (startMs - this.#endMs)));
      try {
        do {
          this.#waiting.shift()?.();
        } while (this.#waiting.length > 0 && this.#clock.now() < untilMs);
      } finally {
        this.#endMs = this.#clock.now();
        this.#isFollowing = false;
        this.#follow();
      }
    });
  }
}
