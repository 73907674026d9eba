import type { Clock } from "@lycheepulley/core";

/** Time after an outage within which lapsed entries are listed again. */
const RETURN_MS = 2_000;
/** Entries lapse after three heartbeats; the last one came up to one before the outage. */
const LAPSE_HEARTBEATS = 2;
const MARGIN_MS = 200;

/** Decides which upstreams stay though a list lacks them, because the lister was away. */
export class ListOutageGuard {
  readonly #clock: Clock;
  readonly #minOutageMs: number;
  #listedMs: number | undefined;
  #keepUntilMs = -Infinity;

  constructor(options: { clock: Clock; upstreamBeatMs: number }) {
    this.#clock = options.clock;
    this.#minOutageMs = LAPSE_HEARTBEATS * options.upstreamBeatMs - MARGIN_MS;
  }

  /** Records a list that was current at `atMs`. */
  onList(atMs: number): void {
    if (this.#listedMs !== undefined && atMs - this.#listedMs >= this.#minOutageMs) {
      this.#keepUntilMs = this.#clock.now() + RETURN_MS;
    }
    this.#listedMs = Math.max(atMs, this.#listedMs ?? -Infinity);
  }

  /** Those of the known upstreams that a list may lack without being gone. */
  getRetained(known: Iterable<string>): ReadonlySet<string> {
    return this.#clock.now() < this.#keepUntilMs ? new Set(known) : new Set();
  }
}
