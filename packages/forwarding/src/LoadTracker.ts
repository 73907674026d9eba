import type { Clock } from "@lycheepulley/core";

import {
  isPastObjective,
  LoadPhase,
  newTimedItem,
  sumLoads,
  type LoadItem,
  type TimedLoadItem,
  type UpstreamLoad,
} from "./load.js";

/** The load of a peer that was silent for longer is stale and left out. */
const PEER_SILENCE_MS = 1_500;
/** The same in heartbeats, for peers with a long heartbeat interval. */
const PEER_SILENCE_HEARTBEATS = 3;

interface PeerLoads {
  lastMessageMs: number;
  beatMs: number;
  seq: number;
  readonly items: Map<string, TimedLoadItem>;
}

/** Changes to the in-flight requests of one process since its last message. */
export interface LoadChange {
  readonly changed: readonly LoadItem[];
  /** Ids of requests whose first event arrived. */
  readonly writing: readonly string[];
  readonly ended: readonly string[];
}

/** Tracks the in-flight requests of this process and of its peers. */
export class LoadTracker {
  readonly #clock: Clock;
  readonly #own = new Map<string, TimedLoadItem>();
  readonly #peers = new Map<string, PeerLoads>();
  readonly #onOwnChange: (change: LoadChange) => void;
  readonly #getLagMs: () => number;

  constructor(options: {
    clock: Clock;
    onOwnChange: (change: LoadChange) => void;
    /** Time after which a change at a peer is known here. */
    getLagMs?: () => number;
  }) {
    this.#clock = options.clock;
    this.#onOwnChange = options.onOwnChange;
    this.#getLagMs = options.getLagMs ?? ((): number => 0);
  }

  get own(): readonly LoadItem[] {
    return [...this.#own.values()];
  }

  /** Records a request of this process in its current phase. */
  setOwn(item: LoadItem): void {
    this.#own.set(
      item.id,
      newTimedItem(item, { sinceMs: this.#clock.now(), reportedMs: undefined }),
    );
    this.#onOwnChange({ changed: [item], writing: [], ended: [] });
  }

  /** Records that a request of this process had its first event. */
  startWriting(id: string): void {
    const item = this.#own.get(id);
    if (item && item.phase !== LoadPhase.Writing) {
      this.#own.set(id, this.#newWriting(item));
      this.#onOwnChange({ changed: [], writing: [id], ended: [] });
    }
  }

  /** Records that a gap of a request of this process missed its objective. */
  markLate(id: string): void {
    const item = this.#own.get(id);
    if (item && !item.isLate) {
      const late = newTimedItem({ ...item, isLate: true }, item);
      this.#own.set(id, late);
      this.#onOwnChange({ changed: [late], writing: [], ended: [] });
    }
  }

  removeOwn(id: string): void {
    if (this.#own.delete(id)) {
      this.#onOwnChange({ changed: [], writing: [], ended: [id] });
    }
  }

  /** Applies a peer's change; a message older than one already seen is dropped. */
  applyPeerChange(peer: string, seq: number, change: LoadChange): void {
    const loads = this.#getPeer(peer);
    if (seq <= loads.seq) {
      return;
    }
    loads.seq = seq;
    change.changed.forEach((item) => {
      this.#setPeerItem(loads, item);
    });
    for (const id of change.writing) {
      const item = loads.items.get(id);
      if (item && item.phase !== LoadPhase.Writing) {
        loads.items.set(id, this.#newWriting(item));
      }
    }
    change.ended.forEach((id) => loads.items.delete(id));
  }

  /** Replaces the requests of a peer with those of a snapshot, unless that is out of date. */
  replacePeer(peer: string, seq: number, items: readonly LoadItem[]): void {
    const loads = this.#getPeer(peer);
    if (seq <= loads.seq) {
      return;
    }
    loads.seq = seq;
    const ids = new Set(items.map(({ id }) => id));
    [...loads.items.keys()].filter((id) => !ids.has(id)).forEach((id) => loads.items.delete(id));
    items.forEach((item) => {
      this.#setPeerItem(loads, item);
    });
  }

  /** Records a heartbeat of a peer that sends one every `beatMs`. */
  recordHeartbeat(peer: string, beatMs: number): void {
    this.#getPeer(peer).beatMs = beatMs;
  }

  removePeer(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Load of each upstream, from the requests of all processes. */
  getLoads(): Map<string, UpstreamLoad> {
    return sumLoads(this.#items(), this.#clock.now(), this.#getLagMs());
  }

  /** In-flight requests of all processes except silent peers. */
  get items(): readonly TimedLoadItem[] {
    return [...this.#items()];
  }

  /** Age of what is known of the peer that was heard longest ago, milliseconds; 0 without peers. */
  get ageMs(): number {
    const now = this.#clock.now();
    return Math.max(0, ...this.#heardPeers(now).map(({ lastMessageMs }) => now - lastMessageMs));
  }

  /** Load items of all processes except silent peers. */
  *#items(): Generator<TimedLoadItem> {
    yield* this.#own.values();
    for (const peer of this.#heardPeers(this.#clock.now())) {
      yield* peer.items.values();
    }
  }

  #heardPeers(now: number): PeerLoads[] {
    return [...this.#peers.values()].filter(
      ({ lastMessageMs, beatMs }) =>
        now - lastMessageMs < Math.max(PEER_SILENCE_MS, PEER_SILENCE_HEARTBEATS * beatMs),
    );
  }

  #getPeer(name: string): PeerLoads {
    let loads = this.#peers.get(name);
    if (!loads) {
      loads = { lastMessageMs: 0, beatMs: 0, seq: -1, items: new Map() };
      this.#peers.set(name, loads);
    }
    loads.lastMessageMs = this.#clock.now();
    return loads;
  }

  #newWriting(item: TimedLoadItem): TimedLoadItem {
    const now = this.#clock.now();
    const isLate = isPastObjective(item, now);
    const { reportedMs } = item;
    return newTimedItem(
      { ...item, phase: LoadPhase.Writing, isLate },
      { sinceMs: now, reportedMs },
    );
  }

  #setPeerItem(loads: PeerLoads, item: LoadItem): void {
    const known = loads.items.get(item.id);
    const isSame =
      known?.phase === item.phase &&
      known.upstream === item.upstream &&
      known.promise?.renewal === item.promise?.renewal;
    const now = this.#clock.now();
    const sinceMs = isSame ? known.sinceMs : now;
    loads.items.set(item.id, newTimedItem(item, { sinceMs, reportedMs: known?.reportedMs ?? now }));
  }
}
