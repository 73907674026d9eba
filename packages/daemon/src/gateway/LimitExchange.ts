import type { Cancel, Clock, Random } from "@lycheepulley/core";
import {
  ColdUpstreams,
  QuotaOwner,
  sample,
  SendQuota,
  UpstreamLimits,
  UpstreamRests,
  type ColdReport,
  type FleetView,
  type LimitReport,
  type Members,
  type PeerTable,
  type QuotaAnswer,
  type QuotaPeers,
  type RateBounds,
} from "@lycheepulley/forwarding";
import type { DatagramChannel, NodeServer } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import {
  askMethod,
  chargeSchema,
  coldReportSchema,
  limitsSchema,
  MAX_REPORTS,
  type LimitMessage,
} from "./limitMessages.js";
import type { PeerCalls } from "./PeerCalls.js";

/** Interval at which limits are told again, to peers that missed a message or started since. */
const GOSSIP_INTERVAL_MS = 1_000;
/** Peers that limits are told to each time, so that the cost doesn't grow with the fleet. */
const GOSSIP_PEERS = 4;
/** Changes are told to all once more after this time, past the doubt about the order of two reports. */
const RETELL_MS = 700;

/** Exchanges the limits of upstreams and the quotas for sending to them with peers. */
export class LimitExchange {
  readonly limits: UpstreamLimits;
  readonly cold: ColdUpstreams;
  readonly rests: UpstreamRests;
  readonly quota: SendQuota;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #channel: DatagramChannel;
  readonly #peers: PeerTable;
  readonly #owner: QuotaOwner;
  readonly #host: string;
  readonly #calls: PeerCalls;
  readonly #view: FleetView;
  /** Upstreams whose limit changed lately by an answer that this process received. */
  readonly #changed = new Set<string>();
  #cancelTimer: Cancel = () => undefined;
  #cancelRetell: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    random: Random;
    channel: DatagramChannel;
    peers: PeerTable;
    logger: Logger;
    host: string;
    calls: PeerCalls;
    view: FleetView;
    rateBounds?: RateBounds | undefined;
    getMembers: () => Members;
  }) {
    const { clock, logger } = options;
    this.#clock = clock;
    this.#random = options.random;
    this.#channel = options.channel;
    this.#peers = options.peers;
    this.#host = options.host;
    this.#calls = options.calls;
    this.#view = options.view;
    const { getMembers, rateBounds: bounds } = options;
    const peers: QuotaPeers = {
      ask: (host, limit, cold) => this.#ask(host, limit, cold),
      charge: (host, limit) => {
        this.#channel.notify("limit.charge", { limit: this.#toMessage(limit) }, [host]);
      },
    };
    this.limits = new UpstreamLimits({
      ...{ clock, logger },
      onOwnChange: (report) => {
        this.#tell([report], this.#liveHosts);
        this.#retellLater(report.upstream);
      },
    });
    this.cold = new ColdUpstreams({
      ...{ clock, logger },
      onNews: (reports) => {
        this.#tellCold(reports, this.#liveHosts);
      },
      getReturnedMs: (upstream) => this.#view.getReturnedMs(upstream),
    });
    const { limits, cold } = this;
    this.#owner = new QuotaOwner({ clock, limits, cold, bounds, getMembers });
    this.rests = new UpstreamRests({ clock, random: options.random, logger });
    this.quota = new SendQuota({
      ...{ clock, limits, cold, rests: this.rests, owner: this.#owner, peers },
      ...{ getMembers, logger },
    });
  }

  /** Cold upstreams, and what this process got of their shared rates since the start. */
  get coldCounts(): { count: number; sends: Readonly<Record<string, number>> } {
    return { count: this.cold.all.length, sends: this.quota.coldSends };
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
    this.#channel.handle("limit.cold", coldReportSchema, ({ cold }, host) => {
      cold.forEach((report) => {
        this.cold.recordPeer(host, report);
      });
    });
    server.handle(askMethod, ({ host, limit, cold }) => {
      const answer = this.#owner.takeForPeer(host, this.#toReport(limit), cold);
      const { report, ...rest } = answer;
      return { ...rest, limit: report && this.#toMessage(report) };
    });
    this.#gossip();
  }

  stop(): void {
    this.#cancelTimer();
    this.#cancelRetell();
  }

  /**
   * Forgets upstreams that are no longer listed or started again, which `ids` lacks, and takes what the
   * list says of the others.
   */
  retain(ids: ReadonlySet<string>): void {
    const { list, upstreams, table } = this.#view;
    [...upstreams.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => {
        this.rests.forget(id);
      });
    this.cold.retain(ids);
    this.cold.observe(upstreams.values(), {
      isDirect: list.isDirect ?? false,
      getColdStart: (pool) => table?.findPool(pool)?.coldStart,
    });
    this.limits.retain(ids);
    this.rests.retain(ids);
    this.quota.retain(ids);
    this.#owner.retain(ids);
  }

  #gossip(): void {
    this.#owner.observe();
    const hosts = sample(this.#liveHosts, GOSSIP_PEERS, this.#random);
    this.#tell(this.limits.own, hosts);
    this.#tellCold(this.cold.all, hosts);
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

  #tellCold(reports: readonly ColdReport[], hosts: readonly string[]): void {
    if (reports.length > 0) {
      const cold = reports
        .slice(0, MAX_REPORTS)
        .map(({ upstream, leftMs, perSecond }) => ({ upstream, leftMs, perSecond }));
      this.#channel.notify("limit.cold", { cold }, hosts);
    }
  }

  /** Tells all peers once more what is then the newest report of an upstream whose limit changed. */
  #retellLater(upstream: string): void {
    if (this.#changed.size === 0) {
      this.#cancelRetell = this.#clock.setTimer(() => {
        const reports = this.limits.own.filter((report) => this.#changed.has(report.upstream));
        this.#changed.clear();
        this.#tell(reports, this.#liveHosts);
      }, RETELL_MS);
    }
    this.#changed.add(upstream);
  }

  get #liveHosts(): string[] {
    return this.#peers.getLive().map(({ host }) => host);
  }

  async #ask(host: string, limit: LimitReport, cold?: ColdReport): Promise<QuotaAnswer> {
    const { limit: known, ...answer } = await this.#calls.call(host, askMethod, {
      ...{ host: this.#host, limit: this.#toMessage(limit) },
      ...(cold && {
        cold: { upstream: cold.upstream, leftMs: cold.leftMs, perSecond: cold.perSecond },
      }),
    });
    return { ...answer, report: known && this.#toReport(known) };
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
