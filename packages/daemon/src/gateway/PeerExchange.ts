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

const BEAT_MS = 250;
/** Large fleets send fewer heartbeats: each process to every other one in this time a peer. */
const BEAT_MS_PER_PEER = 12;
const MAX_BEAT_MS = 1_000;
/** Time after which a heartbeat carries all requests in flight again. */
const SNAPSHOT_MS = 900;
/** Hosts named in a heartbeat; over time each one is. */
const MAX_GOSSIP_HOSTS = 8;

/** Fleets of more processes tell their loads through relays. */
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
const beatSchema = z.object({
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
const strikeSchema = z.object({ fingerprint: z.string(), upstream: z.string() });

/** Tells peers of this process and its requests in flight, and hears the same of them. */
export class PeerExchange {
  readonly #clock: Clock;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #logger: Logger;
  readonly #getIdentity: () => Omit<PeerIdentity, "beatMs">;
  readonly #getBoard: () => LoadTracker;
  readonly #onPeer: (peer: PeerIdentity) => void;
  readonly #relay: LoadRelay;
  #seq = 0;
  #snapshotMs = -Infinity;
  #gossipAt = 0;
  #live = new Set<string>();
  #cancel: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    channel: DatagramChannel;
    peers: PeerTable;
    logger: Logger;
    getIdentity: () => Omit<PeerIdentity, "beatMs">;
    getBoard: () => LoadTracker;
    onPeer: (peer: PeerIdentity) => void;
  }) {
    this.#clock = options.clock;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#logger = options.logger;
    this.#getIdentity = options.getIdentity;
    this.#getBoard = options.getBoard;
    this.#onPeer = options.onPeer;
    this.#relay = new LoadRelay({
      clock: this.#clock,
      send: (changes) => {
        this.#sendBatch(changes);
      },
    });
  }

  start(crashes: CrashTracker): void {
    this.#channel.handle("node.beat", beatSchema, (beat, host) => {
      this.#onBeat(beat, host);
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
    this.#channel.handle("crash.strike", strikeSchema, ({ fingerprint, upstream }) => {
      crashes.recordPeerCrash(fingerprint, upstream);
    });
    this.#beat();
  }

  stop(): void {
    this.#cancel();
  }

  /** Sends a heartbeat out of turn, when this process's state changed. */
  announce(): void {
    this.#sendBeat();
  }

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

  /** Sends collected changes to the other processes of this failure domain. */
  #sendBatch(changes: readonly RelayedChange[]): void {
    const { failureDomain } = this.#getIdentity();
    const near = this.#peers.getLive().filter((peer) => peer.failureDomain === failureDomain);
    this.#channel.notify("load.batch", { changes }, getHosts(near));
  }

  #applyChange({ host, incarnation, seq, ...change }: RelayedChange): void {
    if (host !== this.#getIdentity().host) {
      this.#getBoard().applyPeerChange(getKey(host, incarnation), seq, change);
    }
  }

  get #identity(): PeerIdentity {
    return { ...this.#getIdentity(), beatMs: this.#beatMs };
  }

  notifyStrike(fingerprint: string, upstream: string): void {
    this.#channel.notify(
      "crash.strike",
      { fingerprint, upstream },
      getHosts(this.#peers.getLive()),
    );
  }

  #beat(): void {
    this.#sendBeat();
    this.#peers.prune();
    this.#logChanges();
    this.#cancel = this.#clock.setTimer(() => {
      this.#beat();
    }, this.#beatMs);
  }

  get #beatMs(): number {
    const ms = BEAT_MS_PER_PEER * this.#peers.hosts.length;
    return Math.min(MAX_BEAT_MS, Math.max(BEAT_MS, ms));
  }

  #sendBeat(): void {
    const hosts = this.#peers.hosts;
    const now = this.#clock.now();
    const hasItems = now - this.#snapshotMs >= SNAPSHOT_MS;
    this.#seq += hasItems ? 1 : 0;
    this.#snapshotMs = hasItems ? now : this.#snapshotMs;
    const beat: z.input<typeof beatSchema> = {
      identity: this.#identity,
      hosts: hasItems ? this.#nextGossip(hosts) : [],
      seq: this.#seq,
      ...(hasItems ? { items: [...this.#getBoard().own] } : {}),
    };
    this.#channel.notify("node.beat", beat, hosts);
  }

  /** Hosts to name next, in turns. */
  #nextGossip(hosts: readonly string[]): string[] {
    const start = this.#gossipAt < hosts.length ? this.#gossipAt : 0;
    this.#gossipAt = start + MAX_GOSSIP_HOSTS;
    return hosts.slice(start, this.#gossipAt);
  }

  #onBeat({ identity, hosts, seq, items }: z.output<typeof beatSchema>, from: string): void {
    if (identity.host !== from) {
      return;
    }
    const superseded = this.#peers.recordHeartbeat(identity);
    const board = this.#getBoard();
    if (superseded !== undefined) {
      board.removePeer(getKey(from, superseded));
    }
    this.#peers.addHosts(hosts);
    this.#onPeer(identity);
    const key = getKey(from, identity.incarnation);
    board.recordHeartbeat(key, identity.beatMs);
    if (items) {
      board.replacePeer(key, seq, items);
    }
  }

  /** Logs peers that came or fell silent. */
  #logChanges(): void {
    const live = new Set(this.#peers.getLive().map(({ host }) => host));
    for (const host of live) {
      if (!this.#live.has(host)) {
        this.#logger.info("peer heard", { step: "membership", peer: host });
      }
    }
    for (const host of this.#live) {
      if (!live.has(host)) {
        this.#logger.info("peer silent", { step: "membership", peer: host });
      }
    }
    this.#live = live;
  }
}

const getHosts = (peers: readonly PeerIdentity[]): string[] => peers.map(({ host }) => host);

const getKey = (host: string, incarnation: number): string => `${host}#${String(incarnation)}`;
