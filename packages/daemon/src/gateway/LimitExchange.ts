import type { Cancel, Clock, Random } from "@lycheepulley/core";
import {
  QuotaOwner,
  sample,
  SendQuota,
  UpstreamLimits,
  type KnownLimit,
  type LimitReport,
  type PeerTable,
  type QuotaAnswer,
  type Members,
  UpstreamRests,
  type QuotaPeers,
} from "@lycheepulley/forwarding";
import { newRpcMethod, type DatagramChannel, type NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import { z } from "zod";

import type { PeerCalls } from "./PeerCalls.js";

/** Interval at which limits are told again, to peers that missed a message or started since. */
const GOSSIP_INTERVAL_MS = 1_000;
/** Peers that limits are told to each time, so that the cost doesn't grow with the fleet. */
const GOSSIP_PEERS = 4;
/** Limits told in one message, which has to fit into a datagram. */
const MAX_REPORTS = 100;

const limitSchema = z.object({
  upstream: z.string(),
  perSecond: z.number().nonnegative().optional(),
  /** Time since the request went out and the head of its answer arrived. */
  sentAgoMs: z.number(),
  receivedAgoMs: z.number(),
});
type LimitMessage = z.output<typeof limitSchema>;

const limitsSchema = z.object({ limits: z.array(limitSchema).max(MAX_REPORTS) });

const askMethod = newRpcMethod(
  "limit.take",
  z.object({ host: z.string(), limit: limitSchema }),
  z.object({ isGranted: z.boolean(), retryMs: z.number().nonnegative() }),
);
const chargeSchema = z.object({ limit: limitSchema });

/** Exchanges the limits of upstreams and the quotas for sending to them with peers. */
export class LimitExchange {
  readonly limits: UpstreamLimits;
  readonly rests: UpstreamRests;
  readonly quota: SendQuota;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #owner: QuotaOwner;
  readonly #host: string;
  readonly #calls: PeerCalls;
  #cancelTimer: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    random: Random;
    channel: DatagramChannel;
    peers: PeerTable;
    logger: Logger;
    host: string;
    calls: PeerCalls;
    getMembers: () => Members;
  }) {
    const { clock, logger } = options;
    this.#clock = clock;
    this.#random = options.random;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#host = options.host;
    this.#calls = options.calls;
    const { getMembers } = options;
    const peers: QuotaPeers = {
      ask: (host, limit) => this.#ask(host, limit),
      charge: (host, limit) => {
        this.#channel.notify("limit.charge", { limit: this.#toMessage(limit) }, [host]);
      },
    };
    this.limits = new UpstreamLimits({
      ...{ clock, logger },
      onOwnChange: (report) => {
        this.#tell([report], this.#liveHosts);
      },
    });
    this.#owner = new QuotaOwner({ clock, limits: this.limits, getMembers });
    this.rests = new UpstreamRests({ clock, random: options.random, logger });
    this.quota = new SendQuota({
      ...{ clock, limits: this.limits, rests: this.rests, owner: this.#owner, peers },
      ...{ getMembers, logger },
    });
  }

  start(server: NodeServer): void {
    this.#channel.handle("limit.report", limitsSchema, ({ limits }, host) => {
      limits.forEach((limit) => {
        this.limits.recordPeer(host, this.#toReport(limit));
      });
    });
    this.#channel.handle("limit.charge", chargeSchema, ({ limit }, host) => {
      this.limits.recordPeer(host, this.#toReport(limit));
      this.#owner.charge(limit.upstream);
    });
    server.handle(askMethod, ({ host, limit }) =>
      this.#owner.takeForPeer(host, this.#toReport(limit)),
    );
    this.#gossip();
  }

  stop(): void {
    this.#cancelTimer();
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    this.limits.retain(ids);
    this.rests.retain(ids);
    this.quota.retain(ids);
    this.#owner.retain(ids);
  }

  #gossip(): void {
    this.#owner.observe();
    this.#tell(this.limits.own, sample(this.#liveHosts, GOSSIP_PEERS, this.#random));
    this.#cancelTimer = this.#clock.setTimer(() => {
      this.#gossip();
    }, GOSSIP_INTERVAL_MS);
  }

  #tell(reports: readonly LimitReport[], hosts: readonly string[]): void {
    if (reports.length > 0) {
      const limits = reports.slice(0, MAX_REPORTS).map((report) => this.#toMessage(report));
      this.#channel.notify("limit.report", { limits }, hosts);
    }
  }

  get #liveHosts(): string[] {
    return this.#peers.getLive().map(({ host }) => host);
  }

  #ask(host: string, limit: KnownLimit): Promise<QuotaAnswer> {
    return this.#calls.call(host, askMethod, { host: this.#host, limit: this.#toMessage(limit) });
  }

  #toMessage({ upstream, perSecond, sentMs, receivedMs }: LimitReport): LimitMessage {
    const now = this.#clock.now();
    return { upstream, perSecond, sentAgoMs: now - sentMs, receivedAgoMs: now - receivedMs };
  }

  #toReport({ upstream, perSecond, sentAgoMs, receivedAgoMs }: LimitMessage): LimitReport {
    const now = this.#clock.now();
    return { upstream, perSecond, sentMs: now - sentAgoMs, receivedMs: now - receivedAgoMs };
  }
}
