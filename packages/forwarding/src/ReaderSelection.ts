import { createHash } from "node:crypto";

import type { Clock } from "@lycheepulley/core";

import { isEpochBefore, type ListEpoch } from "./sources/listPosition.js";
import {
  getListPosition,
  PeerState,
  type PeerIdentity,
  type LivePeer,
  type PeerTable,
  type ReadAges,
} from "./PeerTable.js";

/** Number of processes that read the sources for all. */
const READER_COUNT = 3;
/**
 * While one or two readers are left, the processes next in rank take over first; after each such
 * time twice as many may, until there are enough. Their reads get known only with their heartbeats.
 */
const TAKEOVER_STEP_MS = 400;
/** A process whose newest list of upstreams is older doesn't count as a reader. */
const MAX_LIST_AGE_MS = 1_600;
/** The same for the configuration, whose reads are long polls that wait for a change. */
const MAX_CONFIG_AGE_MS = 2_600;

/** Peers with a longer heartbeat interval hear of each other through relays, late and at times not at all. */
const MAX_DIRECT_BEAT_MS = 300;
/**
 * As long as the reads of one reader are certainly recent, those of the others may be older by this
 * many heartbeat intervals in a large fleet: one that is lost, and one that a relay passes on late.
 */
const LATE_BEATS = 2;
/** Processes of the next ranks that read at once while no reader is left, and in each turn after that. */
const TURN_PROCESSES = 3;
/** Time between two turns, in which other processes try whether they reach the sources. */
const TURN_MS = 500;
/** Time for which a process that has started in a large fleet learns its rank before it reads on. */
const LEARNING_MS = 2_000;
/** Known hosts from which on a fleet is large. */
const MIN_LARGE_HOSTS = 25;

/** Time for which a process reads the sources itself after a peer failed to share what it read. */
const SELF_READ_MS = 1_500;

type RankedProcess = Pick<PeerIdentity, "host" | "capacity">;

/** What a process of a large fleet knows of the others. */
interface LargeFleetView {
  readonly others: readonly LivePeer[];
  /** Those of the others that rank before it. */
  readonly ahead: readonly LivePeer[];
}

/** A source that is read: the configuration or the list of upstreams. */
export type ReadSource = "config" | "list";

/**
 * Decides whether this process reads the sources itself or gets their content
 * from its peers. The readers are the few processes with the most capacity among
 * those whose reads are recent. When they fall silent or their reads become
 * stale, the next ones in rank take over; all do when no reader is left, in a large
 * fleet by turns: their reads would be a burst, and in an outage all in vain.
 */
export class ReaderSelection {
  readonly #clock: Clock;
  readonly #self: RankedProcess;
  readonly #peers: PeerTable;
  readonly #getListEpoch: () => ListEpoch;
  readonly #startedMs: number;
  readonly #hostDigests = new Map<string, string>();
  #selfReadUntilMs = -Infinity;
  /** Time since which there were too few readers ahead of this process. */
  #lackingSinceMs: number | undefined;
  readonly #lastReadMs = new Map<ReadSource, number>();

  constructor(options: {
    clock: Clock;
    self: RankedProcess;
    peers: PeerTable;
    /** Epoch of the list in force; a peer with an older list doesn't count as a reader. */
    getListEpoch?: () => ListEpoch;
  }) {
    this.#clock = options.clock;
    this.#startedMs = options.clock.now();
    this.#self = options.self;
    this.#peers = options.peers;
    this.#getListEpoch = options.getListEpoch ?? (() => ({}));
  }

  /** Records that a peer failed to share what it read. */
  onPeerFailed(): void {
    this.#selfReadUntilMs = this.#clock.now() + SELF_READ_MS;
  }

  /** Records that this process read a source itself. */
  onRead(source: ReadSource): void {
    this.#lastReadMs.set(source, this.#clock.now());
  }

  /** Records that this process's own reads of a source are older than what its peers know. */
  onStaleRead(source: ReadSource): void {
    this.#lastReadMs.delete(source);
  }

  /** Ages of the reads that this process made itself. */
  getAges(): ReadAges {
    return { configMs: this.#getAge("config"), listMs: this.#getAge("list") };
  }

  /** True while this process has to read the sources. */
  isReader(): boolean {
    if (this.#clock.now() < this.#selfReadUntilMs) {
      return true;
    }
    const epoch = this.#getListEpoch();
    const others = this.#peers
      .getLiveWithSilence()
      .filter(
        ({ peer }) =>
          peer.state !== PeerState.Leaving && !isEpochBefore(getListPosition(peer), epoch),
      );
    if (this.#isLearning(others.length)) {
      return false;
    }
    const ahead = others.filter(({ peer }) => this.#ranksBefore(peer, this.#self));
    return others.some(({ peer }) => peer.beatMs > MAX_DIRECT_BEAT_MS)
      ? this.#isReaderOfLarge({ others, ahead })
      : this.#isReaderOfSmall(ahead);
  }

  /** True while a process that has started hasn't heard of half of a large fleet yet. */
  #isLearning(heard: number): boolean {
    const known = this.#peers.hosts.length;
    return (
      known >= MIN_LARGE_HOSTS &&
      heard < known / 2 &&
      this.#clock.now() - this.#startedMs < LEARNING_MS
    );
  }

  #isReaderOfSmall(ahead: readonly LivePeer[]): boolean {
    const readers = ahead.filter((peer) => isFresh(peer)).length;
    if (readers >= READER_COUNT) {
      this.#lackingSinceMs = undefined;
      return false;
    }
    this.#lackingSinceMs ??= this.#clock.now();
    if (readers === 0 || ahead.length < READER_COUNT) {
      return true;
    }
    const steps = Math.floor(Math.log2(ahead.length / READER_COUNT));
    return this.#clock.now() - this.#lackingSinceMs >= steps * TAKEOVER_STEP_MS;
  }

  #isReaderOfLarge({ others, ahead }: LargeFleetView): boolean {
    if (ahead.length < READER_COUNT) {
      return true;
    }
    const hasEnough = (peers: readonly LivePeer[]): boolean =>
      peers.filter((peer) => isFresh(peer, LATE_BEATS)).length >= READER_COUNT;
    const hasReader = others.some((peer) => isFresh(peer));
    if (hasReader && hasEnough(ahead)) {
      this.#lackingSinceMs = undefined;
      return false;
    }
    if (isRecent(this.getAges())) {
      return true;
    }
    if (hasReader && hasEnough(others)) {
      this.#lackingSinceMs = undefined;
      return false;
    }
    this.#lackingSinceMs ??= this.#clock.now();
    return isTurn({
      ...{ rank: ahead.length, processes: others.length + 1 },
      lackingMs: this.#clock.now() - this.#lackingSinceMs,
    });
  }

  /** Ranks by capacity, then by a hash of the host, which isn't correlated with failure domains. */
  #ranksBefore(one: RankedProcess, other: RankedProcess): boolean {
    return one.capacity === other.capacity
      ? this.#getHostDigest(one.host) < this.#getHostDigest(other.host)
      : one.capacity > other.capacity;
  }

  #getHostDigest(host: string): string {
    let digest = this.#hostDigests.get(host);
    if (digest === undefined) {
      digest = createHash("sha1").update(host).digest("hex");
      this.#hostDigests.set(host, digest);
    }
    return digest;
  }

  #getAge(source: ReadSource): number | undefined {
    const readMs = this.#lastReadMs.get(source);
    return readMs === undefined ? undefined : this.#clock.now() - readMs;
  }
}

const isRecent = ({ configMs, listMs }: ReadAges, allowedMs = 0): boolean =>
  configMs !== undefined &&
  listMs !== undefined &&
  configMs < MAX_CONFIG_AGE_MS + allowedMs &&
  listMs < MAX_LIST_AGE_MS + allowedMs;

/** True while a peer's reads are recent, also when this many of its heartbeats are late or lost. */
const isFresh = ({ peer, silentMs }: LivePeer, lateBeats = 0): boolean =>
  isRecent(peer.reads, lateBeats * peer.beatMs - silentMs);

/** Those next in rank read all the time, the others in groups one after the other. */
const isTurn = (options: { rank: number; processes: number; lackingMs: number }): boolean => {
  const { rank, processes, lackingMs } = options;
  const first = READER_COUNT + TURN_PROCESSES;
  if (rank < first) {
    return true;
  }
  const turn = Math.floor(lackingMs / TURN_MS) - 1;
  const groups = Math.ceil((processes - first) / TURN_PROCESSES);
  return turn >= 0 && Math.floor((rank - first) / TURN_PROCESSES) === turn % groups;
};
