import type { Cancel, Clock } from "../clock.js";

/** Wait that requests of a process with free capacity don't stay above. */
export const STANDING_WAIT_MS = 40;
/** Windows whose mean waits are compared with that; so many in a row tell a standing queue from a burst. */
const WINDOW_MS = 50;
const WINDOWS = 2;
/** Time without long waits and rejections before the process doesn't count as overloaded any more. */
const CALM_MS = 1_000;

/** Begin or end of an overload. */
export interface OverloadChange {
  readonly isOverloaded: boolean;
  /** Time that it has lasted, milliseconds. */
  readonly ms: number;
  /** Longest wait so far, milliseconds. */
  readonly maxWaitMs: number;
  /** Requests and connections since it began. */
  readonly taken: number;
  readonly rejected: number;
}

/**
 * Tells a standing queue from a burst: a process is overloaded once requests have waited for longer than
 * `STANDING_WAIT_MS` for some time (after CoDel, Nichols and Jacobson, 2012; the mean in place of the
 * least wait, since a process has several queues).
 */
export class OverloadDetector {
  readonly #clock: Clock;
  readonly #onChange: (change: OverloadChange) => void;
  #window = { startMs: -Infinity, count: 0, sumMs: 0 };
  /** Windows in a row with long waits. */
  #longWindows = 0;
  #lastAboveMs = -Infinity;
  #maxWaitMs = 0;
  #counts = { taken: 0, rejected: 0 };
  #beganMs: number | undefined;
  #cancelCheck: Cancel | undefined;

  constructor(clock: Clock, onChange: (change: OverloadChange) => void) {
    this.#clock = clock;
    this.#onChange = onChange;
  }

  get isOverloaded(): boolean {
    return this.#beganMs !== undefined;
  }

  /** Notes how long work has waited, and whether it was rejected for that. */
  record(waitMs: number, isRejected: boolean): void {
    const now = this.#clock.now();
    this.#counts[isRejected ? "rejected" : "taken"] += 1;
    this.#maxWaitMs = Math.max(this.#maxWaitMs, waitMs);
    // What is taken in beside rejections waits for less because of them.
    if (isRejected || waitMs >= STANDING_WAIT_MS) {
      this.#lastAboveMs = now;
    }
    if (now - this.#window.startMs >= WINDOW_MS) {
      this.#endWindow(now);
    }
    this.#window.count += 1;
    this.#window.sumMs += waitMs;
  }

  #endWindow(now: number): void {
    const { startMs, count, sumMs } = this.#window;
    const isLong = now - startMs < 2 * WINDOW_MS && sumMs >= count * STANDING_WAIT_MS;
    this.#longWindows = isLong ? this.#longWindows + 1 : 0;
    this.#window = { startMs: now, count: 0, sumMs: 0 };
    if (this.isOverloaded) {
      return;
    }
    if (this.#longWindows >= WINDOWS) {
      this.#beganMs = now - WINDOWS * WINDOW_MS;
      this.#report(true, now - this.#beganMs);
      this.#checkEnd();
    } else if (!isLong) {
      this.#counts = { taken: 0, rejected: 0 };
      this.#maxWaitMs = 0;
    }
  }

  stop(): void {
    this.#cancelCheck?.();
  }

  #checkEnd(): void {
    this.#cancelCheck = this.#clock.setTimer(() => {
      const now = this.#clock.now();
      if (now - this.#lastAboveMs < CALM_MS || this.#beganMs === undefined) {
        this.#checkEnd();
        return;
      }
      const ms = this.#lastAboveMs - this.#beganMs;
      this.#beganMs = undefined;
      this.#longWindows = 0;
      this.#report(false, ms);
      this.#maxWaitMs = 0;
    }, CALM_MS);
  }

  #report(isOverloaded: boolean, ms: number): void {
    this.#onChange({ isOverloaded, ms, maxWaitMs: this.#maxWaitMs, ...this.#counts });
    this.#counts = { taken: 0, rejected: 0 };
  }
}
