import type { Clock } from "../clock.js";

/** Since when work has waited for this process, by its monotonic clock. */
export interface Wait {
  /** It has waited since then at least. */
  readonly sinceMs: number;
  /** It may have waited since then. */
  readonly possiblySinceMs: number;
}

/** A loop that waited for less between two turns was busy, so that the events of the second were ready meanwhile. */
const BUSY_MS = 1;

/** Calls `fn` once all events that are ready in this turn of the event loop were handled. */
export type AfterTurn = (fn: () => void) => void;

/**
 * Tells since when events are ready: the event loop fetches all that are ready at once, so that each
 * event of a turn has waited since the first one was handled.
 */
export class LoopTurns {
  readonly #clock: Clock;
  readonly #afterTurn: AfterTurn;
  readonly #getIdleMs: () => number;
  #startMs: number | undefined;
  /** Start of the turn before, and what the loop had waited in all when it ended. */
  #previousMs = -Infinity;
  #idleMs = -Infinity;
  #possiblyReadyMs = 0;
  #isAfterIdle = false;
  /** End of the turn before, when the events of that turn were fetched, and since when those of this one may be unseen. */
  #endMs = 0;
  #fetchedMs = 0;
  #unseenSinceMs = 0;

  /** `getIdleMs` returns the time that the event loop has waited for events so far, milliseconds. */
  constructor(
    clock: Clock,
    {
      afterTurn = setImmediate,
      getIdleMs = () => performance.eventLoopUtilization().idle,
    }: { afterTurn?: AfterTurn | undefined; getIdleMs?: (() => number) | undefined } = {},
  ) {
    this.#clock = clock;
    this.#afterTurn = afterTurn;
    this.#getIdleMs = getIdleMs;
  }

  /** How long the event that is handled now has waited: it wasn't ready in the turn before. */
  getWait(): Wait {
    return { sinceMs: this.getReadyMs(), possiblySinceMs: this.#possiblyReadyMs };
  }

  /** True for events that ended a pause of the loop, for which the whole process may have been frozen. */
  get isAfterIdle(): boolean {
    return this.#isAfterIdle;
  }

  /** The same as `possiblySinceMs`, also where a turn was held up before its first event was handled. */
  get unseenSinceMs(): number {
    return this.#unseenSinceMs;
  }

  /** Monotonic time since which the event that is handled now is known to have waited. */
  getReadyMs(): number {
    if (this.#startMs === undefined) {
      const startMs = this.#clock.now();
      this.#startMs = startMs;
      const idleMs = this.#getIdleMs() - this.#idleMs;
      this.#isAfterIdle = idleMs >= BUSY_MS;
      this.#unseenSinceMs = this.#isAfterIdle ? startMs : this.#fetchedMs;
      const fetchedMs = Number.isFinite(idleMs) ? this.#endMs + idleMs : startMs;
      this.#possiblyReadyMs = this.#isAfterIdle ? startMs : this.#previousMs;
      this.#afterTurn(() => {
        this.#previousMs = startMs;
        this.#fetchedMs = fetchedMs;
        this.#endMs = this.#clock.now();
        this.#idleMs = this.#getIdleMs();
        this.#startMs = undefined;
      });
    }
    return this.#startMs;
  }

  /** Calls `fn` once all events that are ready in this turn were handled. */
  afterTurn(fn: () => void): void {
    this.#afterTurn(fn);
  }

  /** Calls `fn` once all events that are ready in the next turn were handled, too. */
  afterNextTurn(fn: () => void): void {
    this.#afterTurn(() => {
      this.#afterTurn(fn);
    });
  }
}
