import { createHash } from "node:crypto";

import type { Clock } from "@lycheepulley/core";

import { PeerState, type HeardPeer, type PeerTable } from "./PeerTable.js";

/** Processes that read the sources for all. */
const READERS = 3;
/** A reader whose newest list of upstreams is older doesn't count. */
const MAX_LIST_AGE_MS = 1_600;
/** The same for the configuration, whose reads wait for a change. */
const MAX_CONFIG_AGE_MS = 2_600;

/** Age of a process's newest reads of its sources, milliseconds; absent before any. */
export interface ReadAges {
  readonly configMs?: number | undefined;
  readonly listMs?: number | undefined;
}

/** What a source holds. */
export type ReadSubject = "config" | "list";

/**
 * Decides which processes read the sources while the others learn from them:
 * the first few in an order by name of those whose reads are fresh. When these
 * fall silent or read nothing, the next ones read.
 */
export class ReadTurns {
  readonly #clock: Clock;
  readonly #self: string;
  readonly #peers: PeerTable;
  readonly #ranks = new Map<string, string>();
  readonly #readMs = new Map<ReadSubject, number>();

  constructor(options: { clock: Clock; self: string; peers: PeerTable }) {
    this.#clock = options.clock;
    this.#self = options.self;
    this.#peers = options.peers;
  }

  /** Records a read of this process's own. */
  onRead(subject: ReadSubject): void {
    this.#readMs.set(subject, this.#clock.now());
  }

  /** Ages of this process's own reads. */
  getAges(): ReadAges {
    return { configMs: this.#getAge("config"), listMs: this.#getAge("list") };
  }

  /** True while this process is to read. */
  isOwnTurn(): boolean {
    const own = this.#getRank(this.#self);
    const isAhead = ({ peer, silentMs }: HeardPeer): boolean =>
      peer.state !== PeerState.Leaving &&
      this.#getRank(peer.host) < own &&
      isFresh(peer.reads, silentMs);
    return this.#peers.getHeard().filter(isAhead).length < READERS;
  }

  /** Position in an order that has nothing to do with failure domains. */
  #getRank(host: string): string {
    let rank = this.#ranks.get(host);
    if (rank === undefined) {
      rank = createHash("sha1").update(host).digest("hex");
      this.#ranks.set(host, rank);
    }
    return rank;
  }

  #getAge(subject: ReadSubject): number | undefined {
    const readMs = this.#readMs.get(subject);
    return readMs === undefined ? undefined : this.#clock.now() - readMs;
  }
}

const isFresh = ({ configMs, listMs }: ReadAges, silentMs: number): boolean =>
  configMs !== undefined &&
  listMs !== undefined &&
  configMs + silentMs < MAX_CONFIG_AGE_MS &&
  listMs + silentMs < MAX_LIST_AGE_MS;
