import type { Clock } from "@lycheepulley/core";
import { pickRelays, type PeerIdentity, type PeerTable } from "@lycheepulley/forwarding";

/** With more live peers than this, messages go through relays in each failure domain. */
const MAX_DIRECT_PEERS = 24;
/** Ranks of a failure domain's relay and of the process that takes over when it ends. */
const RELAY_RANKS = [0, 1] as const;
/** Time for which a view of the peers is used, which each request needs several times. */
const VIEW_MS = 100;

/** Part of a process in what its failure domain does together. */
export const RelayRole = {
  /** The fleet is small: all processes talk to each other. */
  Direct: "direct",
  /** Acts for its failure domain, or takes over when the process that does so ends. */
  Relay: "relay",
  /** Leaves it to the relays of its failure domain. */
  Member: "member",
} as const;
export type RelayRole = (typeof RelayRole)[keyof typeof RelayRole];

interface View {
  readonly untilMs: number;
  readonly isRelayed: boolean;
  /** The relays of all failure domains, by rank. */
  readonly relays: readonly (readonly PeerIdentity[])[];
  /** The relays of this process's failure domain, the one in charge first. */
  readonly domainRelays: readonly PeerIdentity[];
  readonly domainPeers: readonly PeerIdentity[];
}

/** Which processes act for their failure domains, as this process sees it. */
export class RelayTopology {
  readonly #clock: Clock;
  readonly #peers: PeerTable;
  readonly #host: string;
  readonly #getIdentity: () => PeerIdentity;
  #view: View | undefined;

  constructor(options: {
    clock: Clock;
    peers: PeerTable;
    /** Host of this process. */
    host: string;
    getIdentity: () => PeerIdentity;
  }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#host = options.host;
    this.#getIdentity = options.getIdentity;
  }

  /** True in a large fleet. */
  get isRelayed(): boolean {
    return this.#current.isRelayed;
  }

  get role(): RelayRole {
    const { isRelayed, domainRelays } = this.#current;
    if (!isRelayed) {
      return RelayRole.Direct;
    }
    const isRelay = domainRelays.some(({ host }) => host === this.#host);
    return isRelay ? RelayRole.Relay : RelayRole.Member;
  }

  /** The relays of all failure domains; this process may be among them. */
  getRelays(rank: (typeof RELAY_RANKS)[number] = 0): readonly PeerIdentity[] {
    return this.#current.relays[rank] ?? [];
  }

  /** The other relays of this process's failure domain, the one in charge first. */
  getOtherRelays(): readonly PeerIdentity[] {
    return this.#current.domainRelays.filter(({ host }) => host !== this.#host);
  }

  /** Live peers of this process's failure domain. */
  getDomainPeers(): readonly PeerIdentity[] {
    return this.#current.domainPeers;
  }

  get #current(): View {
    const now = this.#clock.now();
    if (!this.#view || now >= this.#view.untilMs) {
      this.#view = this.#newView(now + VIEW_MS);
    }
    return this.#view;
  }

  #newView(untilMs: number): View {
    const self = this.#getIdentity();
    const live = this.#peers.getLive();
    const isNear = ({ failureDomain }: PeerIdentity): boolean =>
      failureDomain === self.failureDomain;
    const relays = RELAY_RANKS.map((rank) => pickRelays([self, ...live], rank));
    return {
      ...{ untilMs, relays, isRelayed: live.length > MAX_DIRECT_PEERS },
      domainRelays: [...new Set(relays.flatMap((ranked) => ranked.filter(isNear)))],
      domainPeers: live.filter(isNear),
    };
  }
}
