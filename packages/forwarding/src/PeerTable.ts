import type { Clock } from "@lycheepulley/core";

import type { EvacuationStatement } from "./evacuations/evacuationList.js";
import type { Members } from "./members.js";
import type { ListPosition } from "./sources/listPosition.js";

/** Whether a process serves callers, as it states in its heartbeats. */
export const PeerState = {
  Joining: "joining",
  Live: "live",
  Leaving: "leaving",
} as const;
export type PeerState = (typeof PeerState)[keyof typeof PeerState];

/** State of a process that has what it needs to serve callers, or is about to end. */
export const getPeerState = (own: { isReady: boolean; isDraining: boolean }): PeerState => {
  if (own.isDraining) {
    return PeerState.Leaving;
  }
  return own.isReady ? PeerState.Live : PeerState.Joining;
};

/** Age of a process's newest reads of its sources, milliseconds; absent before the first one. */
export interface ReadAges {
  readonly configMs?: number | undefined;
  readonly listMs?: number | undefined;
}

/** Identity and state of one entry process. */
export interface PeerIdentity {
  /** IP address, unique for each VM. */
  readonly host: string;
  /** Differs between starts of the process on one VM. */
  readonly incarnation: number;
  readonly failureDomain: string;
  /** Compute capacity of its VM, in cores. */
  readonly capacity: number;
  /** Address for callers. */
  readonly callerAddress: string;
  readonly state: PeerState;
  /** Revision of its configuration, -1 before one is known. */
  readonly revision: number;
  /** Generation of its list of upstreams; absent for the first one, or in earlier builds. */
  readonly listGeneration?: number | undefined;
  /** Epoch of its list of upstreams, absent for a service without epochs. */
  readonly listEpoch?: number | undefined;
  /** Version of that list within its epoch, -1 before one is known. */
  readonly listVersion: number;
  /** Digest of that list's entries. */
  readonly listDigest: string;
  /** Ages of its own reads when it sent the heartbeat. */
  readonly reads: ReadAges;
  /** Heartbeat interval, milliseconds. */
  readonly beatMs: number;
  /** Number of the heartbeat; relayed ones may arrive after newer ones. */
  readonly beat?: number | undefined;
  /** Version of the messages that the process reads, 1 when absent. */
  readonly protocol?: number | undefined;
  /** Failure domains that it knows to be evacuated; absent where nobody requests that, or in earlier builds. */
  readonly evacuations?: EvacuationStatement | undefined;
}

/** Position of the list of upstreams of a process. */
export const getListPosition = (
  peer: Pick<PeerIdentity, "listGeneration" | "listEpoch" | "listVersion">,
): ListPosition => ({
  ...{ generation: peer.listGeneration, epoch: peer.listEpoch, version: peer.listVersion },
});

/** A peer with a recent heartbeat. */
export interface LivePeer {
  readonly peer: PeerIdentity;
  /** Time since its newest heartbeat. */
  readonly silentMs: number;
}

/** A peer without a heartbeat for longer isn't named to callers. */
const LIVE_SILENCE_MS = 1_100;
/** The same in heartbeats, for peers with a long interval; one heartbeat may be lost. */
const LIVE_SILENCE_HEARTBEATS = 2.5;
/** A peer without a heartbeat for longer is removed. */
const FORGET_MS = 60_000;
/**
 * When all peers are silent, this process is more likely cut off itself. It then
 * goes on naming the peers whose last heartbeat is at most this old.
 */
const ISOLATION_GRACE_MS = 20_000;
/**
 * The same time, from the first look at which all were silent, for a process that reaches its other
 * sources: then the peers are more likely gone. A process that was frozen hears from them within it.
 */
const CONNECTED_GRACE_MS = 3_000;

/** A peer that is silent for longer has ended; none is cut off or frozen for so long. */
const RECENT_MS = 20_000;

interface PeerEntry {
  identity: PeerIdentity | undefined;
  /** Time of its newest heartbeat, or of its addition before the first. */
  lastSeenMs: number;
}

const isOlder = (one: PeerIdentity, other: PeerIdentity): boolean =>
  one.incarnation === other.incarnation &&
  one.beat !== undefined &&
  other.beat !== undefined &&
  one.beat < other.beat;

/** Other entry processes: all known hosts, and those with a recent heartbeat. */
export class PeerTable {
  readonly #clock: Clock;
  readonly #self: string;
  readonly #entries = new Map<string, PeerEntry>();
  /** Time of the first look since which all peers are silent. */
  #aloneSinceMs: number | undefined;

  constructor(options: { clock: Clock; self: string }) {
    this.#clock = options.clock;
    this.#self = options.self;
  }

  /** Hosts to send heartbeats to. */
  get hosts(): string[] {
    return [...this.#entries.keys()];
  }

  /** Adds hosts from a list or from a peer. */
  addHosts(hosts: readonly string[]): void {
    const lastSeenMs = this.#clock.now();
    for (const host of hosts) {
      if (host !== this.#self && !this.#entries.has(host)) {
        this.#entries.set(host, { identity: undefined, lastSeenMs });
      }
    }
  }

  /** Records a heartbeat unless a newer one is known; returns the incarnation that it supersedes, if any. */
  recordHeartbeat(identity: PeerIdentity): number | undefined {
    const known = this.#entries.get(identity.host)?.identity;
    if (known && isOlder(identity, known)) {
      return undefined;
    }
    this.#entries.set(identity.host, { identity, lastSeenMs: this.#clock.now() });
    return known && known.incarnation !== identity.incarnation ? known.incarnation : undefined;
  }

  /** Peers with a recent heartbeat. */
  getLive(): PeerIdentity[] {
    return this.#getWithMaxSilence(({ beatMs }) =>
      Math.max(LIVE_SILENCE_MS, LIVE_SILENCE_HEARTBEATS * beatMs),
    );
  }

  /** Peers with a recent heartbeat, with the time since it arrived. */
  getLiveWithSilence(): LivePeer[] {
    const now = this.#clock.now();
    return this.getLive().map((peer) => ({
      peer,
      silentMs: now - (this.#entries.get(peer.host)?.lastSeenMs ?? now),
    }));
  }

  /** Peers that serve callers; `isConnected` while this process reaches its other sources. */
  getServing({ isConnected }: { isConnected: boolean } = { isConnected: false }): PeerIdentity[] {
    const isServing = ({ state }: PeerIdentity): boolean => state === PeerState.Live;
    const live = this.getLive();
    const aloneMs = this.#trackAlone(live.length);
    if (live.length > 0 || (isConnected && aloneMs > CONNECTED_GRACE_MS)) {
      return live.filter(isServing);
    }
    return this.#getWithMaxSilence(() => ISOLATION_GRACE_MS).filter(isServing);
  }

  /** Failure domain of a peer, as its newest heartbeat states it. */
  getFailureDomain(host: string): string {
    return this.#entries.get(host)?.identity?.failureDomain ?? "";
  }

  /** Peers that are about to end. */
  getLeaving(): PeerIdentity[] {
    return this.getLive().filter(({ state }) => state === PeerState.Leaving);
  }

  /** The processes that divide duties: live peers that serve callers, and this one while `isServing`. */
  getMembers(isServing: boolean): Members {
    const self = this.#self;
    const live = this.getLive();
    const hosts = live.filter(({ state }) => state === PeerState.Live).map(({ host }) => host);
    return {
      ...{ self, hosts: isServing ? [...hosts, self] : hosts, known: this.#entries.size },
      isPartial: 2 * (live.length + 1) < this.#countRecent() + 1,
    };
  }

  /** Other processes that may run unseen: seen lately, or known for a short time. */
  #countRecent(): number {
    const now = this.#clock.now();
    return [...this.#entries.values()].filter(({ lastSeenMs }) => now - lastSeenMs <= RECENT_MS)
      .length;
  }

  /** Removes peers that were silent for long. */
  prune(): void {
    this.#trackAlone(this.getLive().length);
    const now = this.#clock.now();
    for (const [host, { lastSeenMs }] of this.#entries) {
      if (now - lastSeenMs > FORGET_MS) {
        this.#entries.delete(host);
      }
    }
  }

  /** Time since the first look at which all peers were silent. */
  #trackAlone(live: number): number {
    const now = this.#clock.now();
    this.#aloneSinceMs = live > 0 ? undefined : (this.#aloneSinceMs ?? now);
    return now - (this.#aloneSinceMs ?? now);
  }

  #getWithMaxSilence(getMaxSilenceMs: (peer: PeerIdentity) => number): PeerIdentity[] {
    const now = this.#clock.now();
    return [...this.#entries.values()].flatMap(({ identity, lastSeenMs }) =>
      identity && now - lastSeenMs <= getMaxSilenceMs(identity) ? [identity] : [],
    );
  }
}
