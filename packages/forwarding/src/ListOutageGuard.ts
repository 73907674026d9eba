import type { Clock } from "@lycheepulley/core";

/** Time after an outage within which live upstreams with expired entries are listed again. */
const RELIST_MS = 2_000;
/**
 * Shortest outage in which entries can expire, in heartbeats: they expire after
 * three, and the last one came up to one before the outage.
 */
const MIN_OUTAGE_HEARTBEATS = 2;
const OUTAGE_MARGIN_MS = 200;

/**
 * Decides which upstreams stay in use although a list lacks them. While the
 * service that lists them is down, it gets no heartbeats, and the entries of
 * live upstreams expire.
 */
export class ListOutageGuard {
  readonly #clock: Clock;
  readonly #minOutageMs: number;
  #lastListMs: number | undefined;
  #retainUntilMs = -Infinity;

  constructor(options: { clock: Clock; upstreamBeatMs: number }) {
    this.#clock = options.clock;
    this.#minOutageMs = MIN_OUTAGE_HEARTBEATS * options.upstreamBeatMs - OUTAGE_MARGIN_MS;
  }

  /** Records a list that was current at `atMs`. */
  onList(atMs: number): void {
    if (this.#lastListMs !== undefined && atMs - this.#lastListMs >= this.#minOutageMs) {
      this.#retainUntilMs = this.#clock.now() + RELIST_MS;
    }
    this.#lastListMs = Math.max(atMs, this.#lastListMs ?? -Infinity);
  }

  /** The known upstreams shortly after an outage, otherwise none. */
  getRetained(known: Iterable<string>): ReadonlySet<string> {
    return this.#clock.now() < this.#retainUntilMs ? new Set(known) : new Set();
  }
}
