import type { Clock } from "@lycheepulley/core";

import { isEpochBefore, type ListEpoch } from "./sources/listPosition.js";

/** Time after an outage within which live upstreams with expired or lost entries are listed again. */
export const RELIST_MS = 2_000;
/**
 * Shortest outage in which entries can expire, in heartbeats: they expire after
 * three, and the last one came up to one before the outage.
 */
const MIN_OUTAGE_HEARTBEATS = 2;
const OUTAGE_MARGIN_MS = 200;

/**
 * Decides which upstreams stay in use although a list lacks them. While the
 * service that lists them is down, it gets no heartbeats, and the entries of
 * live upstreams expire. When it was restored from an older copy (a newer
 * epoch), it lacks the entries written since.
 */
export class ListOutageGuard {
  readonly #clock: Clock;
  readonly #minOutageMs: number;
  #lastListMs: number | undefined;
  #epoch: ListEpoch | undefined;
  #retainUntilMs = -Infinity;

  constructor(options: { clock: Clock; upstreamBeatMs: number }) {
    this.#clock = options.clock;
    this.#minOutageMs = MIN_OUTAGE_HEARTBEATS * options.upstreamBeatMs - OUTAGE_MARGIN_MS;
  }

  /** Records a list of an epoch that was current at `atMs`; true when the epoch rose. */
  onList(atMs: number, { generation, epoch }: ListEpoch = {}): boolean {
    const wasOut = this.#lastListMs !== undefined && atMs - this.#lastListMs >= this.#minOutageMs;
    const next = { generation, epoch };
    const hasRisen = this.#epoch !== undefined && isEpochBefore(this.#epoch, next);
    if (wasOut || hasRisen) {
      this.#retainUntilMs = this.#clock.now() + RELIST_MS;
    }
    this.#epoch = this.#epoch === undefined || hasRisen ? next : this.#epoch;
    this.#lastListMs = Math.max(atMs, this.#lastListMs ?? -Infinity);
    return hasRisen;
  }

  /**
   * The known upstreams while the newest list is of shortly after an outage, otherwise none.
   * Time without a newer list doesn't count: the service may be out again.
   */
  getRetained(known: Iterable<string>): ReadonlySet<string> {
    const isRetaining = (this.#lastListMs ?? -Infinity) < this.#retainUntilMs;
    return isRetaining ? new Set(known) : new Set();
  }
}
