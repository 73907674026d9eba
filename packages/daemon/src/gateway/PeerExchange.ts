import type { Cancel, Clock } from "@lycheepulley/core";
import {
  LoadRelay,
  loadItemSchema,
  pickRelays,
  PeerState,
  type CrashTracker,
  type LoadTracker,
  type LoadChange,
  type PeerIdentity,
  type PeerTable,
  type RelayedChange,
} from "@lycheepulley/forwarding";
import type { DatagramChannel } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

const MIN_HEARTBEAT_MS = 250;
/** The heartbeat interval of large fleets grows by this time for each peer. */
const HEARTBEAT_MS_PER_PEER = 12;
const MAX_HEARTBEAT_MS = 1_000;
/** Time between heartbeats that carry all in-flight requests, which repairs lost load changes. */
const SNAPSHOT_INTERVAL_MS = 900;
/** Hosts named in one heartbeat with a snapshot; successive ones go through all known hosts. */
const MAX_GOSSIP_HOSTS = 8;

/** With more live peers than this, load changes go through one relay in each failure domain. */
const MAX_DIRECT_PEERS = 24;

const identitySchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  failureDomain: z.string(),
  capacity: z.number(),
  callerAddress: z.string(),
  state: z.enum([PeerState.Joining, PeerState.Live, PeerState.Leaving]),
  revision: z.number(),
  listVersion: z.number(),
  listDigest: z.string(),
  reads: z.object({ configMs: z.number().optional(), listMs: z.number().optional() }),
  beatMs: z.number().nonnegative(),
});
const heartbeatSchema = z.object({
  identity: identitySchema,
  hosts: z.array(z.string()).max(MAX_GOSSIP_HOSTS),
  seq: z.number().int(),
  items: z.array(loadItemSchema).optional(),
});
const loadChangeSchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  seq: z.number().int(),
  changed: z.array(loadItemSchema),
  writing: z.array(z.string()),
  ended: z.array(z.string()),
});
const loadBatchSchema = z.object({ changes: z.array(loadChangeSchema) });
const crashStrikeSchema = z.object({ fingerprint: z.string(), upstream: z.string() });

/** Exchanges heartbeats, load changes and crash strikes with peers by datagram. */
export class PeerExchange {
  readonly #clock: Clock;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #logger: Logger;
  readonly #getIdentity: () => Omit<PeerIdentity, "beatMs">;
  readonly #getLoadTracker: () => LoadTracker;
  readonly #onPeerHeartbeat: (peer: PeerIdentity) => void;
  readonly #relay: LoadRelay;
  #seq = 0;
  #lastSnapshotMs = -Infinity;
  #gossipIndex = 0;
  #liveHosts = new Set<string>();
  #cancelTimer: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    channel: DatagramChannel;
    peers: PeerTable;
    logger: Logger;
    getIdentity: () => Omit<PeerIdentity, "beatMs">;
    getLoadTracker: () => LoadTracker;
    onPeerHeartbeat: (peer: PeerIdentity) => void;
  }) {
    this.#clock = options.clock;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#logger = options.logger;
    this.#getIdentity = options.getIdentity;
    this.#getLoadTracker = options.getLoadTracker;
    this.#onPeerHeartbeat = options.onPeerHeartbeat;
    this.#relay = new LoadRelay({
      clock: this.#clock,
      send: (changes) => {
        this.#sendBatch(changes);
      },
    });
  }

  start(crashes: CrashTracker): void {
    this.#channel.handle("node.beat", heartbeatSchema, (heartbeat, host) => {
      this.#onHeartbeat(heartbeat, host);
    });
    this.#channel.handle("load.change", loadChangeSchema, (change) => {
      this.#applyChange(change);
    });
    this.#channel.handle("load.relay", loadChangeSchema, (change) => {
      this.#applyChange(change);
      this.#relay.add(change);
    });
    this.#channel.handle("load.batch", loadBatchSchema, ({ changes }) => {
      changes.forEach((change) => {
        this.#applyChange(change);
      });
    });
    this.#channel.handle("crash.strike", crashStrikeSchema, ({ fingerprint, upstream }) => {
      crashes.recordPeerCrash(fingerprint, upstream);
    });
    this.#runHeartbeat();
  }

  stop(): void {
    this.#cancelTimer();
  }

  /** Sends a heartbeat at once, so that a change of this process's state reaches the peers. */
  announce(): void {
    this.#sendHeartbeat();
  }

  /** Sends a change of this process's load to the peers, directly or through relays. */
  notifyLoad(change: LoadChange): void {
    this.#seq += 1;
    const self = this.#identity;
    const { host, incarnation } = self;
    const message = { host, incarnation, seq: this.#seq, ...change };
    const peers = this.#peers.getLive();
    if (peers.length <= MAX_DIRECT_PEERS) {
      this.#channel.notify("load.change", message, getHosts(peers));
      return;
    }
    const relays = pickRelays([self, ...peers]);
    if (relays.includes(self)) {
      this.#relay.add(message);
    }
    this.#channel.notify("load.relay", message, getHosts(relays.filter((peer) => peer !== self)));
  }

  /** Relays collected changes to the other processes of this failure domain. */
  #sendBatch(changes: readonly RelayedChange[]): void {
    const { failureDomain } = this.#getIdentity();
    const domainPeers = this.#peers
      .getLive()
      .filter((peer) => peer.failureDomain === failureDomain);
    this.#channel.notify("load.batch", { changes }, getHosts(domainPeers));
  }

  #applyChange({ host, incarnation, seq, ...change }: RelayedChange): void {
    if (host !== this.#getIdentity().host) {
      this.#getLoadTracker().applyPeerChange(getProcessKey(host, incarnation), seq, change);
    }
  }

  get #identity(): PeerIdentity {
    return { ...this.#getIdentity(), beatMs: this.#heartbeatMs };
  }

  /** Reports to the peers that `upstream` broke off while it ran a request with this fingerprint. */
  notifyStrike(fingerprint: string, upstream: string): void {
    this.#channel.notify(
      "crash.strike",
      { fingerprint, upstream },
      getHosts(this.#peers.getLive()),
    );
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

  #sendHeartbeat(): void {
    const hosts = this.#peers.hosts;
    const now = this.#clock.now();
    const isSnapshotDue = now - this.#lastSnapshotMs >= SNAPSHOT_INTERVAL_MS;
    this.#seq += isSnapshotDue ? 1 : 0;
    this.#lastSnapshotMs = isSnapshotDue ? now : this.#lastSnapshotMs;
    const heartbeat: z.input<typeof heartbeatSchema> = {
      identity: this.#identity,
      hosts: isSnapshotDue ? this.#nextGossipHosts(hosts) : [],
      seq: this.#seq,
      ...(isSnapshotDue ? { items: [...this.#getLoadTracker().own] } : {}),
    };
    this.#channel.notify("node.beat", heartbeat, hosts);
  }

  /** The next hosts to name in a heartbeat, round-robin. */
  #nextGossipHosts(hosts: readonly string[]): string[] {
    const start = this.#gossipIndex < hosts.length ? this.#gossipIndex : 0;
    this.#gossipIndex = start + MAX_GOSSIP_HOSTS;
    return hosts.slice(start, this.#gossipIndex);
  }

  #onHeartbeat(
    { identity, hosts, seq, items }: z.output<typeof heartbeatSchema>,
    from: string,
  ): void {
    if (identity.host !== from) {
      return;
    }
    const superseded = this.#peers.recordHeartbeat(identity);
    const loadTracker = this.#getLoadTracker();
    if (superseded !== undefined) {
      loadTracker.removePeer(getProcessKey(from, superseded));
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

const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);

const getProcessKey = (host: string, incarnation: number): string =>
  `${host}#${String(incarnation)}`;
