import { createHash } from "node:crypto";

import type { Clock } from "@lycheepulley/core";

import { getEpoch } from "./fleetConfig.js";
import { PeerState, type PeerIdentity, type PeerTable, type ReadAges } from "./PeerTable.js";

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

/** Time for which a process reads the sources itself after a peer failed to share what it read. */
const SELF_READ_MS = 1_500;

type RankedProcess = Pick<PeerIdentity, "host" | "capacity">;

/** A source that is read: the configuration or the list of upstreams. */
export type ReadSource = "config" | "list";

/**
 * Decides whether this process reads the sources itself or gets their content
 * from its peers. The readers are the few processes with the most capacity among
 * those whose reads are recent. When they fall silent or their reads become
 * stale, the next ones in rank take over; all do when no reader is left.
 */
export class ReaderSelection {
  readonly #clock: Clock;
  readonly #self: RankedProcess;
  readonly #peers: PeerTable;
  readonly #getListEpoch: () => number;
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
    getListEpoch?: () => number;
  }) {
    this.#clock = options.clock;
    this.#self = options.self;
    this.#peers = options.peers;
    this.#getListEpoch = options.getListEpoch ?? (() => 0);
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
    const ahead = this.#peers
      .getLiveWithSilence()
      .filter(
        ({ peer }) =>
          peer.state !== PeerState.Leaving &&
          getEpoch({ epoch: peer.listEpoch }) >= epoch &&
          this.#ranksBefore(peer, this.#self),
      );
    const readers = ahead.filter(({ peer, silentMs }) => isFresh(peer.reads, silentMs)).length;
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

const isFresh = ({ configMs, listMs }: ReadAges, silentMs: number): boolean =>
  configMs !== undefined &&
  listMs !== undefined &&
  configMs + silentMs < MAX_CONFIG_AGE_MS &&
  listMs + silentMs < MAX_LIST_AGE_MS;
