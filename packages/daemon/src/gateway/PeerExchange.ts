import type { Cancel, Clock } from "@lycheepulley/core";
import {
  Batcher,
  type LoadTracker,
  type PeerIdentity,
  type PeerTable,
} from "@lycheepulley/forwarding";
import type { DatagramChannel } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";

import { asksForLoads, getProcessKey, LoadExchange } from "./LoadExchange.js";
import {
  heartbeatBatchParser,
  heartbeatParser,
  MAX_GOSSIP_HOSTS,
  PROTOCOL,
  upstreamNewsSchema,
  type Heartbeat,
} from "./peerMessages.js";
import { RelayTopology, type RelayRole } from "./RelayTopology.js";

const MIN_HEARTBEAT_MS = 250;
/** The heartbeat interval of large fleets grows by this time for each peer. */
const HEARTBEAT_MS_PER_PEER = 12;
const MAX_HEARTBEAT_MS = 1_000;
/** Time between heartbeats that carry all in-flight requests, which repairs lost load changes. */
const SNAPSHOT_INTERVAL_MS = 900;
/** The same when heartbeats go through relays, whose links carry them many times. */
const RELAYED_SNAPSHOT_INTERVAL_MS = 2_000;
/** Heartbeats take turns among this many relays of a failure domain, so that the end of one loses few. */
const HEARTBEAT_RANKS = [0, 1] as const;
/** Time for which relays collect heartbeats, milliseconds. */
const HEARTBEAT_BATCH_MS = 400;
/** Interval at which a process of a large fleet looks whether it has begun to read the sources. */
const READS_LOOK_MS = 100;
/** A process whose own reads are older doesn't read the sources any more. */
const MAX_OWN_READ_MS = 2_600;
/** Batches have to fit into a datagram. */
const MAX_HEARTBEAT_BATCH = 30;

/** What the exchange uses of the channel for datagrams. */
export type PeerChannel = Pick<DatagramChannel, "handle" | "notify">;

type ProcessName = Pick<PeerIdentity, "host" | "failureDomain">;

/** Exchanges heartbeats and news of upstreams with peers by datagram. */
export class PeerExchange {
  readonly #clock: Clock;
  readonly #channel: PeerChannel;
  readonly #peers: PeerTable;
  readonly #logger: Logger;
  readonly #self: ProcessName;
  readonly #getIdentity: () => Omit<PeerIdentity, "beatMs">;
  readonly #getLoadTracker: () => LoadTracker;
  readonly #onPeerHeartbeat: (peer: PeerIdentity) => void;
  readonly #onPeerReturned: (host: string) => void;
  readonly #onUpstreamLeaving: (upstream: string) => void;
  readonly #onUpstreamDead: (upstream: string, host: string) => void;
  readonly #onUpstreamLost: (startId: string, host: string) => void;
  readonly #heartbeatRelay: Batcher<{ heartbeat: Heartbeat; receivedMs: number }>;
  readonly #topology: RelayTopology;
  /** Load of the fleet. */
  readonly loads: LoadExchange;
  #beat = 0;
  #lastSnapshotMs = -Infinity;
  #gossipIndex = 0;
  #liveHosts = new Set<string>();
  #cancelTimer: Cancel = () => undefined;
  #cancelLook: Cancel = () => undefined;
  /** Every process reads when it starts. */
  #wasReading = true;

  constructor(options: {
    clock: Clock;
    channel: PeerChannel;
    peers: PeerTable;
    logger: Logger;
    self: ProcessName;
    getIdentity: () => Omit<PeerIdentity, "beatMs">;
    getLoadTracker: () => LoadTracker;
    onPeerHeartbeat: (peer: PeerIdentity) => void;
    /** Called when a peer may lack what was told since: it started, or was silent before. */
    onPeerReturned: (host: string) => void;
    /** Called when an upstream told a peer that it leaves. */
    onUpstreamLeaving: (upstream: string) => void;
    /** Called when the peer `host` found an upstream dead. */
    onUpstreamDead: (upstream: string, host: string) => void;
    /** Called when the peer `host` found a start of an upstream lost. */
    onUpstreamLost: (startId: string, host: string) => void;
  }) {
    this.#clock = options.clock;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#logger = options.logger;
    this.#self = options.self;
    this.#getIdentity = options.getIdentity;
    this.#getLoadTracker = options.getLoadTracker;
    this.#onPeerHeartbeat = options.onPeerHeartbeat;
    this.#onPeerReturned = options.onPeerReturned;
    this.#onUpstreamLeaving = options.onUpstreamLeaving;
    this.#onUpstreamDead = options.onUpstreamDead;
    this.#onUpstreamLost = options.onUpstreamLost;
    const { clock, channel, logger, peers, getLoadTracker } = options;
    this.#topology = new RelayTopology({
      ...{ clock, peers, host: options.self.host, getIdentity: () => this.#identity },
    });
    this.loads = new LoadExchange({
      ...{ clock, channel, logger, topology: this.#topology, getLoadTracker },
      ...{ host: options.self.host, getIdentity: () => this.#identity },
      getPeers: () => peers.getLive(),
    });
    this.#heartbeatRelay = new Batcher({
      ...{ clock, delayMs: HEARTBEAT_BATCH_MS, maxItems: MAX_HEARTBEAT_BATCH },
      send: (received) => {
        this.#relayHeartbeats(
          received.map(({ heartbeat, receivedMs }) =>
            withLaterReads(heartbeat, clock.now() - receivedMs),
          ),
        );
      },
    });
  }

  start(): void {
    this.#channel.handle("node.beat", heartbeatParser, (heartbeat, host) => {
      if (heartbeat.identity.host === host) {
        this.#onHeartbeat(heartbeat);
      }
    });
    this.#channel.handle("node.beat.relay", heartbeatParser, (heartbeat, host) => {
      if (heartbeat.identity.host === host) {
        this.#onHeartbeat(heartbeat);
        this.#heartbeatRelay.add({ heartbeat, receivedMs: this.#clock.now() });
      }
    });
    this.#channel.handle("node.beat.batch", heartbeatBatchParser, ({ beats }) => {
      const { host } = this.#self;
      beats
        .filter(({ identity }) => identity.host !== host)
        .forEach((heartbeat) => {
          this.#onHeartbeat(heartbeat);
        });
    });
    this.loads.start();
    this.#channel.handle("upstream.leaving", upstreamNewsSchema, ({ upstream }) => {
      this.#onUpstreamLeaving(upstream);
    });
    this.#channel.handle("upstream.dead", upstreamNewsSchema, ({ upstream }, host) => {
      this.#onUpstreamDead(upstream, host);
    });
    this.#channel.handle("upstream.lost", upstreamNewsSchema, ({ upstream }, host) => {
      this.#onUpstreamLost(upstream, host);
    });
    this.#runHeartbeat();
    this.#watchReads();
  }

  stop(): void {
    this.#cancelTimer();
    this.#cancelLook();
  }

  /** Sends a heartbeat at once, so that a change of this process's state reaches the peers. */
  announce(): void {
    this.#channel.notify("node.beat", this.#newHeartbeat(), this.#peers.hosts);
  }

  /** Tells the peers of this failure domain at once what state this process has. */
  announceInDomain(): void {
    this.#channel.notify("node.beat", this.#newHeartbeat(false), this.#getDomainHosts());
  }

  /** Part of this process in what its failure domain does together. */
  get role(): RelayRole {
    return this.#topology.role;
  }

  #getDomainHosts(): string[] {
    return getHosts(this.#topology.getDomainPeers());
  }

  /** Processes that ask for loads don't need the requests that are in flight elsewhere. */
  #relayHeartbeats(beats: readonly Heartbeat[]): void {
    const relays = new Set(getHosts(this.#topology.getOtherRelays()));
    const isLean = (peer: PeerIdentity): boolean => !relays.has(peer.host) && asksForLoads(peer);
    const peers = this.#topology.getDomainPeers();
    const lean = beats.map(({ identity, hosts, seq }) => ({ identity, hosts, seq }));
    this.#channel.notify("node.beat.batch", { beats: lean }, getHosts(peers.filter(isLean)));
    const others = getHosts(peers.filter((peer) => !isLean(peer)));
    this.#channel.notify("node.beat.batch", { beats }, others);
  }

  get #identity(): PeerIdentity {
    return {
      ...{ ...this.#getIdentity(), beatMs: this.#heartbeatMs, beat: this.#beat },
      protocol: PROTOCOL,
    };
  }

  /** Tells the peers what this process found out about an upstream. */
  notifyUpstream(news: "leaving" | "dead" | "lost", upstream: string): void {
    this.#channel.notify(`upstream.${news}`, { upstream }, getHosts(this.#peers.getLive()));
  }

  /** Tells all peers of a large fleet at once when this process begins to read, so that no others do too. */
  #watchReads(): void {
    const { configMs = Infinity, listMs = Infinity } = this.#getIdentity().reads;
    const isReading = Math.max(configMs, listMs) < MAX_OWN_READ_MS;
    if (isReading && !this.#wasReading && this.#topology.isRelayed) {
      this.announce();
    }
    this.#wasReading = isReading;
    this.#cancelLook = this.#clock.setTimer(() => {
      this.#watchReads();
    }, READS_LOOK_MS);
  }

  #runHeartbeat(): void {
    this.#sendHeartbeat();
    this.#peers.prune();
    this.#logPeerChanges();
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#runHeartbeat();
    }, this.#heartbeatMs);
  }

  get #heartbeatMs(): number {
    const ms = HEARTBEAT_MS_PER_PEER * this.#peers.hosts.length;
    return Math.min(MAX_HEARTBEAT_MS, Math.max(MIN_HEARTBEAT_MS, ms));
  }

  /** Sends a heartbeat to all known hosts, or in a large fleet to relays in each failure domain. */
  #sendHeartbeat(): void {
    const heartbeat = this.#newHeartbeat();
    if (!this.#topology.isRelayed) {
      this.#channel.notify("node.beat", heartbeat, this.#peers.hosts);
      return;
    }
    const { host } = heartbeat.identity;
    const relays = getHosts(
      this.#topology.getRelays(HEARTBEAT_RANKS[this.#beat % HEARTBEAT_RANKS.length]),
    );
    if (relays.includes(host)) {
      this.#heartbeatRelay.add({ heartbeat, receivedMs: this.#clock.now() });
    }
    const others = relays.filter((relay) => relay !== host);
    this.#channel.notify("node.beat.relay", heartbeat, others);
  }

  #newHeartbeat(mayHaveItems = true): Heartbeat {
    const now = this.#clock.now();
    const intervalMs = this.#topology.isRelayed
      ? RELAYED_SNAPSHOT_INTERVAL_MS
      : SNAPSHOT_INTERVAL_MS;
    const isSnapshotDue = mayHaveItems && now - this.#lastSnapshotMs >= intervalMs;
    this.#beat += 1;
    this.#lastSnapshotMs = isSnapshotDue ? now : this.#lastSnapshotMs;
    return {
      identity: this.#identity,
      hosts: isSnapshotDue ? this.#nextGossipHosts(this.#peers.hosts) : [],
      seq: isSnapshotDue ? this.loads.nextSeq() : this.loads.seq,
      ...(isSnapshotDue ? { items: [...this.#getLoadTracker().own] } : {}),
    };
  }

  /** The next hosts to name in a heartbeat, round-robin. */
  #nextGossipHosts(hosts: readonly string[]): string[] {
    const start = this.#gossipIndex < hosts.length ? this.#gossipIndex : 0;
    this.#gossipIndex = start + MAX_GOSSIP_HOSTS;
    return hosts.slice(start, this.#gossipIndex);
  }

  #onHeartbeat({ identity, hosts, seq, items }: Heartbeat): void {
    const from = identity.host;
    const superseded = this.#peers.recordHeartbeat(identity);
    const loadTracker = this.#getLoadTracker();
    if (superseded !== undefined) {
      loadTracker.removePeer(getProcessKey(from, superseded));
    }
    if (superseded !== undefined || !this.#liveHosts.has(from)) {
      this.#onPeerReturned(from);
    }
    this.#peers.addHosts(hosts);
    this.#onPeerHeartbeat(identity);
    const key = getProcessKey(from, identity.incarnation);
    loadTracker.recordHeartbeat(key, identity.beatMs);
    if (items) {
      loadTracker.replacePeer(key, seq, items);
    }
  }

  /** Logs peers whose heartbeats began or stopped arriving since the last call. */
  #logPeerChanges(): void {
    const live = new Set(this.#peers.getLive().map(({ host }) => host));
    for (const host of live) {
      if (!this.#liveHosts.has(host)) {
        this.#logger.info("peer heartbeats received", { step: "membership", peer: host });
      }
    }
    for (const host of this.#liveHosts) {
      if (!live.has(host)) {
        this.#logger.info("peer heartbeats missing", { step: "membership", peer: host });
      }
    }
    this.#liveHosts = live;
  }
}

/** The heartbeat after `heldMs` at a relay: the reads that it reports are older by then. */
const withLaterReads = (heartbeat: Heartbeat, heldMs: number): Heartbeat => {
  const { configMs, listMs } = heartbeat.identity.reads;
  const reads = {
    ...(configMs === undefined ? {} : { configMs: configMs + heldMs }),
    ...(listMs === undefined ? {} : { listMs: listMs + heldMs }),
  };
  return { ...heartbeat, identity: { ...heartbeat.identity, reads } };
};

const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);
