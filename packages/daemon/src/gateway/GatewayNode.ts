import { createServer, type Server } from "node:http";

import { ForwardServer } from "@lycheepulley/callers";
import { sleep, SystemClock, SystemRandom, type Clock } from "@lycheepulley/core";
import {
  CrashTracker,
  FleetView,
  Forwarder,
  ListOutageGuard,
  LoadTracker,
  PeerState,
  PeerTable,
  ReaderSelection,
  RetryBudget,
  sample,
  ReservationManager,
  UpstreamHealth,
  type Dialect,
  type FleetConfig,
  type UpstreamControl,
  type PeerIdentity,
  type UpstreamList,
  type UpstreamTransport,
} from "@lycheepulley/forwarding";
import { DatagramChannel, NodeServer } from "@lycheepulley/nodes";
import { ForwardMetrics, type Logger } from "@lycheepulley/telemetry";

import { FleetSharing } from "./FleetSharing.js";
import { PeerExchange } from "./PeerExchange.js";
import type { GatewaySettings, GatewaySources } from "./types.js";

const IDLE_CHECK_MS = 50;
/** Callers may still hold this process's address for so long after it began to leave. */
const FAREWELL_MS = 3_200;
/** Peers assumed beside those heard, when the retry budget is shared. */
const SPARE_PROCESSES = 3;

/** One gateway process: door, forwarding, peers and what it learns from its sources. */
export class GatewayNode {
  readonly #clock: Clock = new SystemClock();
  readonly #random = new SystemRandom();
  readonly #settings: GatewaySettings;
  readonly #sources: GatewaySources;
  readonly #logger: Logger;
  readonly #metrics = new ForwardMetrics();
  readonly #view = new FleetView();
  readonly #lapses: ListOutageGuard;
  readonly #nodeServer = new NodeServer();
  readonly #sharing: FleetSharing;
  readonly #health: UpstreamHealth;
  readonly #peers: PeerTable;
  readonly #turns: ReaderSelection;
  readonly #channel: DatagramChannel;
  readonly #exchange: PeerExchange;
  readonly #crashes: CrashTracker;
  readonly #forwarder: Forwarder;
  readonly #door: ForwardServer;
  readonly #metricsServer: Server;
  readonly #incarnation = Date.now();
  #isLeaving = false;

  constructor(options: {
    settings: GatewaySettings;
    sources: GatewaySources;
    dialect: Dialect;
    transport: UpstreamTransport;
    control: UpstreamControl;
    logger: Logger;
  }) {
    const { settings, dialect, logger } = options;
    const clock = this.#clock;
    this.#settings = settings;
    this.#sources = options.sources;
    this.#logger = logger;
    this.#health = new UpstreamHealth(clock);
    this.#lapses = new ListOutageGuard({ clock, upstreamBeatMs: settings.upstreamBeatMs });
    this.#peers = new PeerTable({ clock, self: settings.host });
    this.#turns = new ReaderSelection({ clock, self: settings, peers: this.#peers });
    this.#channel = new DatagramChannel({
      onBadMessage: (peer, reason) => {
        logger.warn("message dropped", { step: "membership", peer, reason });
      },
    });
    const board = new LoadTracker({
      clock,
      onOwnChange: (change) => {
        this.#exchange.notifyLoad(change);
      },
    });
    this.#crashes = new CrashTracker({
      clock,
      onCrash: (fingerprint, upstream) => {
        this.#exchange.notifyStrike(fingerprint, upstream);
      },
    });
    this.#sharing = new FleetSharing({
      ...{ clock, random: this.#random, view: this.#view, logger, port: settings.peerPort },
      peers: this.#peers,
      onConfig: (config) => {
        this.#applyConfig(config);
      },
      onList: (list, atMs) => {
        this.#applyUpstreams(list, atMs);
      },
      onConfirmed: (version, atMs) => {
        this.#confirmUpstreams(version, atMs);
      },
      onFailed: () => {
        this.#turns.onPeerFailed();
      },
    });
    this.#exchange = new PeerExchange({
      ...{ clock, channel: this.#channel, peers: this.#peers, logger },
      getIdentity: () => this.#getIdentity(),
      getBoard: () => board,
      onPeer: (peer) => {
        this.#sharing.onPeer(peer);
      },
    });
    this.#forwarder = new Forwarder({
      ...{
        clock,
        random: this.#random,
        view: this.#view,
        loadTracker: board,
        health: this.#health,
      },
      ...{ crashes: this.#crashes, transport: options.transport, dialect, logger },
      retryBudget: this.#newRetryWindow(),
      control: options.control,
      reservations: new ReservationManager({ clock, control: options.control, logger }),
      onEnd: (end) => {
        this.#metrics.onEnd(end);
      },
    });
    this.#door = new ForwardServer({
      ...{ clock, view: this.#view, dialect, logger },
      forward: (req, writer) => this.#forwarder.forward(req, writer),
    });
    this.#metricsServer = createServer((_req, res) => {
      void this.#metrics.getText().then((text) => res.end(text));
    });
  }

  /** True while callers may be sent here. */
  get isReady(): boolean {
    return this.#view.table !== undefined && this.#view.list.version >= 0 && !this.#isLeaving;
  }

  /** At most `most` addresses of the processes that take callers, this one included. */
  getAddresses(most: number): string[] {
    const addresses = this.#peers.getServing().map(({ callerAddress }) => callerAddress);
    const own = this.isReady ? [this.#getIdentity().callerAddress] : [];
    // Processes that answer for a large fleet mustn't all name the same part of it.
    return sample([...own, ...addresses], most, this.#random);
  }

  async start(): Promise<void> {
    const { host, callerPort, peerPort, metricsPort, seedHosts } = this.#settings;
    this.#peers.addHosts(seedHosts);
    await this.#channel.listen(host, peerPort);
    this.#sharing.serve(this.#nodeServer);
    await this.#nodeServer.listen(host, peerPort);
    this.#exchange.start(this.#crashes);
    this.#startSources();
    await this.#door.listen(host, callerPort);
    this.#metricsServer.on("error", (err) => {
      this.#logger.error("metrics not served", { step: "start", err: err.message });
    });
    this.#metricsServer.listen(metricsPort, host);
    this.#logger.info("process started", {
      ...{ step: "start", name: this.#settings.name, incarnation: this.#incarnation },
    });
  }

  /** Takes over what may change while the process runs: hosts that may know others. */
  applySettings(settings: GatewaySettings): void {
    this.#peers.addHosts(settings.seedHosts);
  }

  /** Leaves the answers to callers, finishes what it has and resolves. */
  async drain(reason: string): Promise<void> {
    if (this.#isLeaving) {
      return;
    }
    const startMs = this.#clock.now();
    this.#isLeaving = true;
    this.#exchange.announce();
    this.#door.startLeaving(this.#settings.drainMs);
    this.#logger.info("process leaving", { step: "stop", reason });
    const { drainMs } = this.#settings;
    await sleep(this.#clock, Math.min(FAREWELL_MS, drainMs));
    this.#door.close();
    while (this.#clock.now() - startMs < drainMs && this.#forwarder.inFlight > 0) {
      await sleep(this.#clock, IDLE_CHECK_MS);
    }
    this.#logger.info("process stopped", {
      ...{ step: "stop", inFlight: this.#forwarder.inFlight },
      ...{ connections: this.#door.connections, ms: Math.round(this.#clock.now() - startMs) },
    });
  }

  /** Closes what is open; the process may end afterwards. */
  stop(): void {
    this.#door.close();
    this.#exchange.stop();
    this.#sources.config.stop();
    this.#sources.upstreams.stop();
    this.#sources.peers.stop();
    this.#metricsServer.close();
    this.#channel.close();
    void this.#nodeServer.close();
  }

  #startSources(): void {
    const isWanted = (): boolean => this.#turns.isReader();
    this.#sources.config.start({
      isWanted,
      onRead: () => {
        this.#turns.onRead("config");
      },
      onValue: (config) => {
        if (this.#applyConfig(config)) {
          this.#exchange.announce();
        }
      },
      onState: this.#newStateLogger("configuration"),
    });
    this.#sources.upstreams.start({
      isWanted,
      onRead: () => {
        this.#turns.onRead("list");
      },
      onValue: (list) => {
        if (this.#applyUpstreams(list, this.#clock.now())) {
          this.#exchange.announce();
        }
      },
      onState: this.#newStateLogger("upstream list"),
    });
    this.#sources.peers.start({
      isWanted,
      onRead: () => undefined,
      onValue: (hosts) => {
        this.#peers.addHosts(hosts);
      },
      onState: this.#newStateLogger("peer list"),
    });
  }

  #newStateLogger(what: string): (isConnected: boolean, reason: string) => void {
    return (isConnected, reason) => {
      const message = isConnected ? "dependency regained" : "dependency lost";
      this.#logger.info(message, { step: "membership", peer: what, reason });
    };
  }

  /** Puts a configuration in force; false when one as new already is. */
  #applyConfig(config: FleetConfig): boolean {
    const before = this.#view.revision;
    if (!this.#view.applyConfig(config)) {
      return false;
    }
    this.#door.applyLimits();
    this.#logger.info("configuration in force", {
      ...{ step: "config_read_back", revision: config.revision, before },
      ...{ routes: config.routes.length, pools: config.pools.length },
    });
    return true;
  }

  /** Applies a list that was current at `atMs`; true when it changed something. */
  #applyUpstreams(list: UpstreamList, atMs: number): boolean {
    this.#lapses.onList(atMs);
    const kept = this.#lapses.getRetained(this.#view.upstreams.keys());
    const { joined, left } = this.#view.applyUpstreams(list, atMs, kept);
    this.#health.retain(new Set(this.#view.upstreams.keys()));
    if (left.length > 0 || joined.length > 0) {
      this.#logger.info("upstreams changed", {
        ...{ step: "membership", left, joined, kept: kept.size },
        ...{ size: this.#view.upstreams.size, listVersion: list.version },
      });
    }
    return left.length > 0 || joined.length > 0;
  }

  #confirmUpstreams(version: number, atMs: number): void {
    this.#view.confirmList(version, atMs);
    this.#lapses.onList(atMs);
    if (this.#view.hasUnlisted) {
      this.#applyUpstreams(this.#view.list, atMs);
    }
  }

  #newRetryWindow(): RetryBudget {
    const { retryRatio, retryWindowMs, retrySlack } = this.#settings;
    return new RetryBudget({
      clock: this.#clock,
      limits: { ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack },
      getProcessCount: () => this.#peers.getLive().length + SPARE_PROCESSES,
    });
  }

  #getIdentity(): Omit<PeerIdentity, "beatMs"> {
    const { host, failureDomain, capacity, callerPort } = this.#settings;
    return {
      ...{ host, failureDomain, capacity, incarnation: this.#incarnation },
      callerAddress: `${host}:${String(callerPort)}`,
      state: this.#getState(),
      revision: this.#view.revision,
      listVersion: this.#view.list.version,
      listDigest: this.#view.listDigest,
      reads: this.#turns.getAges(),
    };
  }

  #getState(): PeerState {
    if (this.#isLeaving) {
      return PeerState.Leaving;
    }
    return this.isReady ? PeerState.Live : PeerState.Joining;
  }
}
