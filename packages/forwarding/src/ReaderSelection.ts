import { createHash } from "node:crypto";

import type { Clock } from "@lycheepulley/core";

import { PeerState, type LivePeer, type PeerIdentity, type PeerTable } from "./PeerTable.js";

/** Processes that read the sources for all. */
const READERS = 3;
/** A reader whose newest list of upstreams is older doesn't count. */
const MAX_LIST_AGE_MS = 1_600;
/** The same for the configuration, whose reads wait for a change. */
const MAX_CONFIG_AGE_MS = 2_600;

/** Time for which a process reads itself after a peer didn't tell what it read. */
const DISTRUST_MS = 1_500;

/** Age of a process's newest reads of its sources, milliseconds; absent before any. */
export interface ReadAges {
  readonly configMs?: number | undefined;
  readonly listMs?: number | undefined;
}

type Ranked = Pick<PeerIdentity, "host" | "capacity">;

/** What a source holds. */
export type ReadSource = "config" | "list";

/**
 * Decides which processes read the sources while the others learn from them:
 * the strongest few of those whose reads are fresh. When these fall silent or
 * read nothing, the next ones read.
 */
export class ReaderSelection {
  readonly #clock: Clock;
  readonly #self: Ranked;
  readonly #peers: PeerTable;
  readonly #digests = new Map<string, string>();
  #distrustUntilMs = -Infinity;
  readonly #readMs = new Map<ReadSource, number>();

  constructor(options: { clock: Clock; self: Ranked; peers: PeerTable }) {
    this.#clock = options.clock;
    this.#self = options.self;
    this.#peers = options.peers;
  }

  /** Records that a peer didn't tell what it read. */
  onPeerFailed(): void {
    this.#distrustUntilMs = this.#clock.now() + DISTRUST_MS;
  }

  /** Records a read of this process's own. */
  onRead(subject: ReadSource): void {
    this.#readMs.set(subject, this.#clock.now());
  }

  /** Ages of this process's own reads. */
  getAges(): ReadAges {
    return { configMs: this.#getAge("config"), listMs: this.#getAge("list") };
  }

  /** True while this process is to read. */
  isReader(): boolean {
    if (this.#clock.now() < this.#distrustUntilMs) {
      return true;
    }
    const isAhead = ({ peer, silentMs }: LivePeer): boolean =>
      peer.state !== PeerState.Leaving &&
      this.#isBefore(peer, this.#self) &&
      isFresh(peer.reads, silentMs);
    return this.#peers.getLiveWithSilence().filter(isAhead).length < READERS;
  }

  /** Stronger processes first; equals in an order that has nothing to do with failure domains. */
  #isBefore(one: Ranked, other: Ranked): boolean {
    return one.capacity === other.capacity
      ? this.#getDigest(one.host) < this.#getDigest(other.host)
      : one.capacity > other.capacity;
  }

  #getDigest(host: string): string {
    let digest = this.#digests.get(host);
    if (digest === undefined) {
      digest = createHash("sha1").update(host).digest("hex");
      this.#digests.set(host, digest);
    }
    return digest;
  }

  #getAge(subject: ReadSource): number | undefined {
    const readMs = this.#readMs.get(subject);
    return readMs === undefined ? undefined : this.#clock.now() - readMs;
  }
}

const isFresh = ({ configMs, listMs }: ReadAges, silentMs: number): boolean =>
  configMs !== undefined &&
  listMs !== undefined &&
  configMs + silentMs < MAX_CONFIG_AGE_MS &&
  listMs + silentMs < MAX_LIST_AGE_MS;
