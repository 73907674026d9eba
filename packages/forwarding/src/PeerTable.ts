import type { Clock } from "@lycheepulley/core";

import type { ReadAges } from "./ReaderSelection.js";

/** What a process says of its willingness to serve. */
export const PeerState = {
  Joining: "joining",
  Live: "live",
  Leaving: "leaving",
} as const;
export type PeerState = (typeof PeerState)[keyof typeof PeerState];

/** Identity and state of one entry process. */
export interface PeerIdentity {
  /** IP address, unique for each VM. */
  readonly host: string;
  /** Distinguishes starts of the process on one VM. */
  readonly incarnation: number;
  readonly failureDomain: string;
  /** Strength of its VM, in cores. */
  readonly capacity: number;
  /** Address for callers. */
  readonly callerAddress: string;
  readonly state: PeerState;
  /** Revision of its configuration, -1 before any. */
  readonly revision: number;
  /** Version of its list of upstreams, -1 before any. */
  readonly listVersion: number;
  /** Digest of that list's entries. */
  readonly listDigest: string;
  /** Age of its own reads when it sent the heartbeat. */
  readonly reads: ReadAges;
  /** Time between its heartbeats, milliseconds. */
  readonly beatMs: number;
}

/** A peer heard lately. */
export interface LivePeer {
  readonly peer: PeerIdentity;
  /** Time since its newest heartbeat. */
  readonly silentMs: number;
}

/** A peer not heard for longer isn't handed to callers. */
const LIVE_SILENCE_MS = 1_100;
/** The same in heartbeats of a peer that sends few, one of which may be lost. */
const LIVE_SILENCE_BEATS = 2.5;
/** A peer silent for longer is forgotten. */
const FORGET_MS = 60_000;
/** When every peer fell silent, the silence is more likely this process's own. */
const ISOLATION_MEMORY_MS = 20_000;

interface PeerEntry {
  identity: PeerIdentity | undefined;
  heardMs: number;
}

/** Other entry processes: those known of and those heard lately. */
export class PeerTable {
  readonly #clock: Clock;
  readonly #self: string;
  readonly #entries = new Map<string, PeerEntry>();

  constructor(options: { clock: Clock; self: string }) {
    this.#clock = options.clock;
    this.#self = options.self;
  }

  /** Hosts to send to. */
  get hosts(): string[] {
    return [...this.#entries.keys()];
  }

  /** Learns of hosts from a list or from a peer. */
  addHosts(hosts: readonly string[]): void {
    const heardMs = this.#clock.now();
    for (const host of hosts) {
      if (host !== this.#self && !this.#entries.has(host)) {
        this.#entries.set(host, { identity: undefined, heardMs });
      }
    }
  }

  /** Records a heartbeat; returns the incarnation that it supersedes. */
  recordHeartbeat(identity: PeerIdentity): number | undefined {
    const known = this.#entries.get(identity.host)?.identity;
    this.#entries.set(identity.host, { identity, heardMs: this.#clock.now() });
    return known && known.incarnation !== identity.incarnation ? known.incarnation : undefined;
  }

  /** Peers heard lately. */
  getLive(): PeerIdentity[] {
    return this.#heardWithin(({ beatMs }) =>
      Math.max(LIVE_SILENCE_MS, LIVE_SILENCE_BEATS * beatMs),
    );
  }

  /** Peers heard lately, with the time since. */
  getLiveWithSilence(): LivePeer[] {
    const now = this.#clock.now();
    return this.getLive().map((peer) => ({
      peer,
      silentMs: now - (this.#entries.get(peer.host)?.heardMs ?? now),
    }));
  }

  /** Peers that take callers. */
  getServing(): PeerIdentity[] {
    const isServing = ({ state }: PeerIdentity): boolean => state === PeerState.Live;
    const live = this.getLive();
    return (live.length > 0 ? live : this.#heardWithin(() => ISOLATION_MEMORY_MS)).filter(
      isServing,
    );
  }

  /** Drops peers that were silent for long. */
  prune(): void {
    const now = this.#clock.now();
    for (const [host, { heardMs }] of this.#entries) {
      if (now - heardMs > FORGET_MS) {
        this.#entries.delete(host);
      }
    }
  }

  #heardWithin(getMs: (peer: PeerIdentity) => number): PeerIdentity[] {
    const now = this.#clock.now();
    return [...this.#entries.values()].flatMap(({ identity, heardMs }) =>
      identity && now - heardMs <= getMs(identity) ? [identity] : [],
    );
  }
}
