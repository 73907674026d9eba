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
/** Most of the time between two lists that counts as time in which an upstream could have been listed again. */
const MAX_STEP_MS = 1_000;

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
  /** Time for which lists have lacked upstreams in use, and when the newest of these lists was current. */
  readonly #missingMs = new Map<string, number>();
  #countedMs: number | undefined;

  constructor(options: { clock: Clock; upstreamBeatMs: number }) {
    this.#clock = options.clock;
    this.#minOutageMs = MIN_OUTAGE_HEARTBEATS * options.upstreamBeatMs - OUTAGE_MARGIN_MS;
  }

  /**
   * Records a list of an epoch that was current at `atMs`; true when the epoch rose. A service that answered a
   * call sent at `sentMs`, soon after the list before, was slow and not out.
   */
  onList(atMs: number, { generation, epoch }: ListEpoch = {}, sentMs = atMs): boolean {
    const wasOut = this.#lastListMs !== undefined && sentMs - this.#lastListMs >= this.#minOutageMs;
    const next = { generation, epoch };
    const hasRisen = this.#epoch !== undefined && isEpochBefore(this.#epoch, next);
    if (wasOut || hasRisen) {
      this.#retainUntilMs = this.#clock.now() + RELIST_MS;
    }
    if (hasRisen) {
      this.#missingMs.clear();
    }
    this.#epoch = this.#epoch === undefined || hasRisen ? next : this.#epoch;
    this.#lastListMs = Math.max(atMs, this.#lastListMs ?? -Infinity);
    return hasRisen;
  }

  /**
   * The upstreams in use that stay so although the newest list lacks them, shortly after an outage.
   * Time without a newer list doesn't count: the service may be out again. A service that is slow
   * looks like one outage after the other, and retains none for good.
   */
  getRetained(
    inUse: Iterable<string>,
    listed: ReadonlySet<string> = new Set(),
  ): ReadonlySet<string> {
    const listMs = this.#lastListMs ?? 0;
    const stepMs = Math.min(MAX_STEP_MS, listMs - (this.#countedMs ?? listMs));
    this.#countedMs = listMs;
    const isRetaining = listMs < this.#retainUntilMs;
    const missing = [...inUse].filter((id) => !listed.has(id));
    const before = new Map(this.#missingMs);
    this.#missingMs.clear();
    return new Set(
      missing.filter((id) => {
        const knownMs = before.get(id);
        const missingMs = knownMs === undefined ? 0 : knownMs + stepMs;
        this.#missingMs.set(id, missingMs);
        return isRetaining && missingMs < RELIST_MS;
      }),
    );
  }
}
