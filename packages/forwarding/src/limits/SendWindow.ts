import type { Clock } from "@lycheepulley/core";

/** Shortest time over which a limit holds. */
const WINDOW_MS = 4_000;
/** Sends arrive closer together than they were granted by so much, at most. */
const LATE_MS = 150;
/** Share of a limit that whole sends in the shortest window have to reach; else the window is longer. */
const LEAST_SHARE = 0.95;
const MS_PER_S = 1_000;

/** Counts the sends of the last seconds, so that no saved-up sends exceed a limit over its window. */
export class SendWindow {
  readonly #clock: Clock;
  #sentMs: readonly number[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a send that leaves now. */
  record(perSecond: number): void {
    const now = this.#clock.now();
    const { windowMs } = this.#getBound(perSecond);
    this.#sentMs = [...this.#sentMs.filter((atMs) => atMs > now - windowMs), now];
  }

  /** Time until the window has room for another send under a limit, milliseconds. */
  getWaitMs(perSecond: number): number {
    const { sends, windowMs } = this.#getBound(perSecond);
    const first = this.#sentMs.at(-sends);
    return first === undefined ? 0 : Math.max(0, first + windowMs - this.#clock.now());
  }

  /** The whole sends that a limit allows, and the time over which it allows them. */
  #getBound(perSecond: number): { sends: number; windowMs: number } {
    const allowed = (perSecond * WINDOW_MS) / MS_PER_S;
    const whole = Math.floor(allowed);
    const sends = whole >= LEAST_SHARE * allowed ? whole : whole + 1;
    return { sends, windowMs: Math.max(WINDOW_MS, (sends * MS_PER_S) / perSecond) + LATE_MS };
  }
}
