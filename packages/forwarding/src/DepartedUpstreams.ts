import type { Clock } from "@lycheepulley/core";

import type { Upstream, UpstreamList } from "./fleetConfig.js";
import { RELIST_MS } from "./ListOutageGuard.js";
import { isEpochBefore, isSameEpoch, type ListEpoch } from "./sources/listPosition.js";

/** Entries expire after this number of heartbeat intervals without a heartbeat. */
const EXPIRY_HEARTBEATS = 3;
const EXPIRY_MARGIN_MS = 400;
/** Far longer than the age of a copy that the listing service is restored from. */
const MEMORY_MS = 60_000;
const MAX_DEPARTED = 4_096;

/** What a list says otherwise than this process knows. */
export interface ListCorrections {
  /** Listed upstreams that were gone before the service was restored, and aren't used for now. */
  readonly heldBack: ReadonlySet<string>;
  /** Upstreams listed as available that drained before the service was restored. */
  readonly leaving: ReadonlySet<string>;
}

interface Departure {
  /** Epoch of the list that showed the departure. */
  readonly epoch: ListEpoch;
  /** When the newest list showed it. */
  readonly atMs: number;
  readonly isGone: boolean;
  readonly hasDrained: boolean;
}

/**
 * Remembers upstreams that drained or left. A service that is restored from an
 * older copy lists them again as they were; within one epoch, a list is believed.
 */
export class DepartedUpstreams {
  readonly #clock: Clock;
  readonly #holdMs: number;
  readonly #departures = new Map<string, Departure>();
  #inUse: ReadonlySet<string> = new Set();
  #epoch: ListEpoch | undefined;
  #holdUntilMs = -Infinity;

  constructor(options: { clock: Clock; upstreamBeatMs: number }) {
    this.#clock = options.clock;
    // The old entry of an upstream that ended expires once the others wrote theirs again.
    this.#holdMs = RELIST_MS + EXPIRY_HEARTBEATS * options.upstreamBeatMs + EXPIRY_MARGIN_MS;
  }

  get size(): number {
    return this.#departures.size;
  }

  /** Forgets an upstream that started again under its id. */
  forget(id: string): void {
    this.#departures.delete(id);
  }

  /** Corrections to a list that was current at `atMs` and isn't older than those recorded. */
  getCorrections(list: UpstreamList, atMs: number): ListCorrections {
    this.#trackEpoch(list);
    const isHolding = atMs < this.#holdUntilMs;
    const [heldBack, leaving] = [new Set<string>(), new Set<string>()];
    for (const { id } of list.upstreams) {
      const departure = this.#departures.get(id);
      if (!departure || !isEpochBefore(departure.epoch, list)) {
        continue;
      }
      if (departure.hasDrained) {
        leaving.add(id);
      } else if (isHolding) {
        heldBack.add(id);
      }
    }
    return { heldBack, leaving };
  }

  /** Records a list after it was applied with its corrections; `inUse` are the upstreams in use. */
  record(
    list: UpstreamList,
    { heldBack, leaving }: ListCorrections,
    inUse: ReadonlyMap<string, Upstream>,
  ): void {
    const epoch: ListEpoch = { generation: list.generation, epoch: list.epoch };
    const atMs = this.#clock.now();
    const listed = new Set(list.upstreams.map(({ id }) => id));
    for (const { id, isLeaving } of inUse.values()) {
      if (leaving.has(id)) {
        // Keeps the older epoch, in which it drained, for as long as it is listed.
        const known = this.#departures.get(id)?.epoch ?? epoch;
        this.#remember(id, { epoch: known, atMs, isGone: false, hasDrained: true });
      } else if (isLeaving) {
        this.#remember(id, { epoch, atMs, isGone: false, hasDrained: true });
      } else if (listed.has(id)) {
        this.#departures.delete(id);
      }
    }
    const candidates = new Set([...this.#inUse, ...this.#departures.keys()]);
    for (const id of candidates) {
      const known = this.#departures.get(id);
      if (
        inUse.has(id) ||
        heldBack.has(id) ||
        (known?.isGone === true && isSameEpoch(known.epoch, epoch))
      ) {
        continue;
      }
      const hasDrained = known?.hasDrained ?? false;
      this.#remember(id, { epoch, atMs, isGone: true, hasDrained });
    }
    this.#inUse = new Set(inUse.keys());
    this.#forget(atMs);
  }

  #trackEpoch({ generation, epoch }: ListEpoch): void {
    const next = { generation, epoch };
    if (this.#epoch === undefined) {
      this.#epoch = next;
    } else if (isEpochBefore(this.#epoch, next)) {
      this.#epoch = next;
      this.#holdUntilMs = this.#clock.now() + this.#holdMs;
    }
  }

  #remember(id: string, departure: Departure): void {
    this.#departures.delete(id);
    this.#departures.set(id, departure);
  }

  /** Drops the oldest departures; the map is in the order of their times. */
  #forget(nowMs: number): void {
    for (const [id, { atMs }] of this.#departures) {
      if (nowMs - atMs <= MEMORY_MS && this.#departures.size <= MAX_DEPARTED) {
        return;
      }
      this.#departures.delete(id);
    }
  }
}
