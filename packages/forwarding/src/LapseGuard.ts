import type { Clock } from "@lycheepulley/core";

/** Outages shorter than this make no entry of the list lapse. */
const MIN_OUTAGE_MS = 1_500;
/** Time after an outage within which lapsed entries are listed again. */
const RETURN_MS = 2_000;

/** Decides which upstreams stay though a list lacks them, because the lister was away. */
export class LapseGuard {
  readonly #clock: Clock;
  #lostMs: number | undefined;
  #keepUntilMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the list can't be read, or can be read again. */
  onState(isConnected: boolean): void {
    const now = this.#clock.now();
    if (!isConnected) {
      this.#lostMs ??= now;
      return;
    }
    if (this.#lostMs !== undefined && now - this.#lostMs >= MIN_OUTAGE_MS) {
      this.#keepUntilMs = now + RETURN_MS;
    }
    this.#lostMs = undefined;
  }

  /** Those of the known upstreams that a list may lack without being gone. */
  getKept(known: Iterable<string>): ReadonlySet<string> {
    return this.#clock.now() < this.#keepUntilMs ? new Set(known) : new Set();
  }
}
