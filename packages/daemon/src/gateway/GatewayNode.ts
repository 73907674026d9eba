import { ForwardServer } from "@lycheepulley/callers";
import {
  ProcessLifecycle,
  SystemClock,
  SystemRandom,
  type Clock,
  type OverloadControl,
} from "@lycheepulley/core";
import {
  CrossedBytes,
  EvacuationTracker,
  FleetConfigTracker,
  FleetView,
  Forwarder,
  LoadTracker,
  PeerTable,
  ReaderSelection,
  ReservationManager,
  UpstreamHealth,
  UpstreamListTracker,
  type Dialect,
  type PeerIdentity,
  type UpstreamLinks,
  type UpstreamList,
} from "@lycheepulley/forwarding";
import type { HttpServer } from "@lycheepulley/http";
import { NodeServer, type DatagramChannel } from "@lycheepulley/nodes";
import { AnswerCosts, ForwardMetrics, ProcessStrain, type Logger } from "@lycheepulley/telemetry";

import { CallerAddresses, type AskingCaller } from "./CallerAddresses.js";
import { newCountedLinks } from "./countedLinks.js";
import { DetourConnector } from "./DetourConnector.js";
import { drainProcess } from "./drainProcess.js";
import { EvidenceExchange } from "./EvidenceExchange.js";
import { FleetStateSync } from "./FleetStateSync.js";
import { newMetricsServer, startMetricsServer } from "./metricsServer.js";
import { PeerCalls } from "./PeerCalls.js";
import { newPeerIdentity } from "./newPeerIdentity.js";
import { newOverloadControl } from "../newOverloadControl.js";
import { newRetryBudget } from "./newRetryBudget.js";
import { newPeerChannel } from "./newPeerChannel.js";
import { newUpstreamWatches, type UpstreamWatches } from "./newUpstreamWatches.js";
import { PeerExchange } from "./PeerExchange.js";
import { RelayRole } from "./RelayTopology.js";
import { SourceFeed } from "./SourceFeed.js";
import type { GatewaySettings, GatewaySources } from "./types.js";
import { answerWhere, whereMethod } from "./whereMethod.js";

/** One gateway process: forwards requests and tracks configuration, upstreams and peers. */
export class GatewayNode {
  readonly #clock: Clock = new SystemClock();
  readonly #random = new SystemRandom();
  readonly #lifecycle = new ProcessLifecycle();
  /** Shared by all listeners of the process. */
  readonly load: OverloadControl;
  readonly #settings: GatewaySettings;
  readonly #sourceFeed: SourceFeed;
  readonly #logger: Logger;
  readonly #metrics = new ForwardMetrics({
    countLimited: () => this.#evidence.limits.limits.all.length,
    countResting: () => this.#evidence.limits.rests.count,
    countParts: () => this.#evidence.countParts(),
    countRequests: () => this.#evidence.countBlockedRequests(),
    ...{ countDetours: () => this.#connector.detours, hasLostLinks: () => this.#connector.isLost },
    countEvacuated: () => this.#evacuations.count,
    ...{ getRoom: () => this.#forwarder.room, getHeldBytes: () => this.#listener.held.bytes },
    ...{ getShares: () => this.#forwarder.usedShares, getCrossedBytes: () => this.#crossed.counts },
    getCold: () => this.#evidence.limits.coldCounts,
    getConfig: () => this.#configTracker.status,
    isOverloaded: () => this.load.isOverloaded,
    strain: { getFigures: () => this.#strain.figures, getTotals: () => this.#costs.totals },
  });
  readonly #costs = new AnswerCosts();
  readonly #strain: ProcessStrain;
  readonly #crossed: CrossedBytes;
  readonly #view: FleetView;
  readonly #configTracker: FleetConfigTracker;
  readonly #listTracker: UpstreamListTracker;
  readonly #evacuations: EvacuationTracker;
  readonly #connector: DetourConnector;
  readonly #nodeServer: NodeServer;
  readonly #stateSync: FleetStateSync;
  readonly #health: UpstreamHealth;
  readonly #peers: PeerTable;
  readonly #addresses: CallerAddresses;
  readonly #readerSelection: ReaderSelection;
  readonly #channel: DatagramChannel;
  readonly #peerExchange: PeerExchange;
  readonly #peerCalls: PeerCalls;
  readonly #evidence: EvidenceExchange;
  readonly #watches: UpstreamWatches;
  readonly #forwarder: Forwarder;
  readonly #listener: ForwardServer;
  readonly #metricsServer: HttpServer;
  readonly #incarnation = Date.now();
  #drained: Promise<void> | undefined;

  constructor(options: {
    settings: GatewaySettings;
    sources: GatewaySources;
    dialect: Dialect;
    links: UpstreamLinks;
    logger: Logger;
  }) {
    const { settings, dialect, links, logger } = options;
    const clock = this.#clock;
    const lifecycle = this.#lifecycle;
    this.#settings = settings;
    this.#logger = logger;
    this.#crossed = new CrossedBytes(settings.failureDomain);
    this.#view = new FleetView(clock, settings.regions);
    this.#health = new UpstreamHealth(clock);
    this.#configTracker = new FleetConfigTracker({
      ...{ clock, view: this.#view, logger },
      getReadAgeMs: () => this.#readerSelection.getAges().configMs,
      onInForce: () => {
        this.#listener.applyLimits();
      },
    });
    this.#listTracker = new UpstreamListTracker({
      ...{ clock, view: this.#view, logger, upstreamBeatMs: settings.upstreamBeatMs },
      onRestored: () => {
        this.#sourceFeed.rereadPeers();
        this.#evidence.crashes.restoreRecords();
      },
    });
    this.#evacuations = new EvacuationTracker({
      ...{ clock, view: this.#view, logger },
      isSourced: options.sources.evacuations !== undefined,
    });
    this.#peers = new PeerTable({ clock, self: settings.host });
    this.#addresses = new CallerAddresses({
      ...{ self: settings.host, regions: settings.regions, peers: this.#peers },
      random: this.#random,
      getReadAgeMs: () => this.#readerSelection.getAges().listMs,
      getOwn: () => (this.isReady ? this.#getIdentity() : undefined),
    });
    this.#readerSelection = new ReaderSelection({
      ...{ clock, self: settings, peers: this.#peers },
      getListEpoch: () => this.#view.list,
    });
    const announce = (): void => {
      this.#peerExchange.announce();
    };
    this.#sourceFeed = new SourceFeed({
      ...{ clock, random: this.#random, sources: options.sources, logger },
      ...{ readerSelection: this.#readerSelection, listTracker: this.#listTracker },
      evacuations: this.#evacuations,
      ...{ onEvacuations: announce, onConfig: announce },
      configTracker: this.#configTracker,
      onUpstreams: (list, sentMs) =>
        this.#applyUpstreams(list, clock.now(), sentMs) && this.#peerExchange.announce(),
      onPeers: this.#peers.addHosts.bind(this.#peers),
    });
    this.#channel = newPeerChannel({ logger, crossed: this.#crossed, peers: this.#peers });
    const loadTracker = new LoadTracker({
      clock,
      getLagMs: () => this.#peerExchange.loads.lagMs,
      onOwnChange: (change) => {
        this.#peerExchange.loads.notify(change);
      },
    });
    this.#stateSync = new FleetStateSync({
      ...{ clock, random: this.#random, view: this.#view, logger, port: settings.peerPort },
      peers: this.#peers,
      failureDomain: settings.failureDomain,
      getRole: () => this.#peerExchange.role,
      configTracker: this.#configTracker,
      onConfig: (config) => {
        this.#announceAsRelay(this.#configTracker.onFetched(config));
      },
      onList: (list, atMs) => {
        this.#announceAsRelay(this.#applyUpstreams(list, atMs));
      },
      onListConfirmed: (position, atMs) => {
        this.#listTracker.confirm(position, atMs);
        this.#watches.losses.onList();
        this.#metrics.setListEpoch(this.#view.list.epoch ?? 0);
      },
      onFetchFailed: this.#readerSelection.onPeerFailed.bind(this.#readerSelection),
    });
    this.#peerExchange = new PeerExchange({
      ...{ clock, channel: this.#channel, peers: this.#peers, logger, self: settings },
      ...{ getIdentity: () => this.#getIdentity(), getLoadTracker: () => loadTracker },
      onPeerHeartbeat: (peer) => {
        this.#sourceFeed.onPeer(peer);
        this.#announceAsRelay(this.#evacuations.onPeer(peer));
        this.#configTracker.onPeer(peer);
        this.#stateSync.onPeerHeartbeat(peer);
      },
      onPeerReturned: (host) => {
        this.#evidence.inform(host);
      },
      onUpstreamLeaving: (upstream) => this.#view.recordLeaving(upstream),
      onUpstreamDead: (upstream, host) => {
        this.#watches.watch.recordPeer(upstream, host);
      },
      onUpstreamLost: (startId, host) => {
        this.#watches.losses.recordPeer(startId, host);
      },
    });
    this.#connector = new DetourConnector({
      ...{ clock, lifecycle, random: this.#random, logger, direct: links.connector },
      ...{ peerPort: settings.peerPort, peers: this.#peers },
      getUpstreams: () => [...this.#view.upstreams.values()],
      isHome: (homes, peer) => this.#view.isHome(homes, this.#peers.getFailureDomain(peer)),
      onChange: this.#health.reset.bind(this.#health),
    });
    this.#nodeServer = new NodeServer([this.#connector.server.route]);
    this.#peerCalls = new PeerCalls(settings.peerPort);
    const exchange = {
      ...{ clock, random: this.#random, channel: this.#channel, peers: this.#peers, logger },
      ...{ host: settings.host, calls: this.#peerCalls, view: this.#view },
      getMembers: () => this.#peers.getMembers(this.isReady),
    };
    const { failureDomain, rateBounds, decisions } = settings;
    this.#evidence = new EvidenceExchange({
      ...{ ...exchange, ...decisions, failureDomain, rateBounds },
      crashRecords: options.sources.crashRecords,
    });
    const { limits, cold, rests, quota } = this.#evidence.limits;
    const { transport, control } = newCountedLinks(links, {
      ...{ connector: this.#connector, crossed: this.#crossed, view: this.#view, cold, quota },
    });
    this.#watches = newUpstreamWatches({
      ...{ clock, random: this.#random, view: this.#view, health: this.#health, logger, control },
      ...{ connector: this.#connector, peers: this.#peerExchange },
    });
    this.#forwarder = new Forwarder({
      ...{ clock, lifecycle, random: this.#random, view: this.#view, loadTracker },
      ...{ peerLoads: this.#peerExchange.loads, health: this.#health, ...this.#watches },
      ...(decisions?.weighsDistance && { nearDomain: failureDomain }),
      ...{ transport, dialect, logger, answerCosts: this.#costs },
      retryBudget: newRetryBudget(settings, clock, this.#peers),
      ...{ control, limits, cold, rests, quota, guard: this.#evidence.crashes.guard },
      ...{ ...decisions, costs: this.#evidence.costs.book },
      reservations: new ReservationManager({ clock, control, logger }),
      onLeaving: (upstream) => {
        this.#peerExchange.notifyUpstream("leaving", upstream);
      },
      onInvalid: this.#metrics.onInvalid.bind(this.#metrics),
      onEnd: this.#metrics.onEnd.bind(this.#metrics),
    });
    this.load = newOverloadControl({
      ...{ clock, random: this.#random, metrics: this.#metrics.overload, logger },
    });
    this.#listener = new ForwardServer({
      ...{ clock, lifecycle, load: this.load, view: this.#view, dialect, logger },
      memoryMb: settings.memoryMb,
      forward: (req, writer) => this.#forwarder.forward(req, writer),
    });
    this.#strain = new ProcessStrain({
      ...{ clock, logger, costs: this.#costs, memoryMb: settings.memoryMb },
      getHeldBytes: () => this.#listener.held.bytes,
    });
    this.#metricsServer = newMetricsServer(this.#metrics, this.#evidence.crashes.guard.evidence);
  }

  /** True while this process knows what to send where, and isn't draining. */
  get isReady(): boolean {
    return this.#view.isKnown && this.#evacuations.isKnown && !this.#lifecycle.isLeaving;
  }

  /** Addresses of at most `limit` processes for a caller that wants to call `host`. */
  getAddresses(limit: number, host: string, caller: AskingCaller): string[] {
    return this.#addresses.select(limit, { ...caller, homes: this.#view.getHostHomes(host) });
  }

  async start(): Promise<void> {
    this.#strain.start();
    const { name, host, callerPort, peerPort, metricsPort, seedHosts } = this.#settings;
    this.#peers.addHosts(seedHosts);
    await this.#channel.listen(host, peerPort);
    this.#stateSync.serve(this.#nodeServer);
    await this.#nodeServer.listen(host, peerPort);
    this.#peerExchange.start();
    this.#evidence.start(this.#nodeServer);
    const where = { clock: this.#clock, view: this.#view, forwarder: this.#forwarder, host };
    this.#nodeServer.handle(whereMethod, (request) => answerWhere(request, where));
    this.#sourceFeed.start();
    this.#configTracker.start();
    await this.#listener.listen(host, callerPort);
    startMetricsServer(this.#metricsServer, { host, port: metricsPort, logger: this.#logger });
    this.#logger.info("process started", { step: "start", name, incarnation: this.#incarnation });
  }

  /** Applies the settings that may change while the process runs: the seed hosts. */
  applySettings(settings: GatewaySettings): void {
    this.#peers.addHosts(settings.seedHosts);
  }

  /**
   * Drains the process: peers stop listing it for callers, and in-flight requests finish. Resolves when
   * all connections are closed, shortly after `drainMs` at the latest. Further calls join the first.
   */
  drain(reason: string): Promise<void> {
    this.#drained ??= drainProcess({
      ...{ clock: this.#clock, logger: this.#logger, lifecycle: this.#lifecycle, reason },
      ...{ drainMs: this.#settings.drainMs, isKnown: this.isReady },
      ...{ listener: this.#listener, relays: this.#connector.server, forwarder: this.#forwarder },
    });
    this.#peerExchange.announce();
    return this.#drained;
  }

  /** Closes servers, sockets and sources without waiting for requests. */
  stop(): void {
    this.#strain.stop();
    this.#listener.close();
    this.#listener.destroy();
    this.#peerExchange.stop();
    this.#evidence.stop();
    this.#peerCalls.close();
    this.#connector.stop();
    this.#watches.watch.stop();
    this.#watches.losses.stop();
    this.#sourceFeed.stop();
    this.#configTracker.stop();
    this.load.stop();
    void this.#metricsServer.close();
    this.#channel.close();
    void this.#nodeServer.close();
  }

  /** Tells the own failure domain of newer state, which its other processes wait for. */
  #announceAsRelay(isNewer: boolean): void {
    if (isNewer && this.#peerExchange.role === RelayRole.Relay) {
      this.#peerExchange.announceInDomain();
    }
  }

  /** Applies an upstream list that was current at `atMs`; true when upstreams or the epoch changed. */
  #applyUpstreams(list: UpstreamList, atMs: number, sentMs?: number): boolean {
    const hasChanged = this.#listTracker.apply(list, atMs, sentMs);
    const ids = this.#listTracker.lasting;
    this.#watches.losses.onList();
    this.#health.retain(ids);
    this.#evidence.retain(ids);
    this.#metrics.setListEpoch(this.#view.list.epoch ?? 0);
    return hasChanged;
  }

  #getIdentity(): Omit<PeerIdentity, "beatMs"> {
    return newPeerIdentity({
      ...{ settings: this.#settings, incarnation: this.#incarnation, view: this.#view },
      ...{ isReady: this.isReady, isDraining: this.#lifecycle.isLeaving },
      ...{ evacuations: this.#evacuations, readerSelection: this.#readerSelection },
    });
  }
}
