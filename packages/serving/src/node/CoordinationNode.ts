import {
  ProcessLifecycle,
  RecordKind,
  RetryBudget,
  type Clock,
  type Draft,
  type FleetConfig,
  type PlacementPolicy,
  type Protections,
  type Random,
  type TrafficMeter,
  type VmList,
} from "@lycheepulley/core";
import type { LogClient } from "@lycheepulley/log";
import { NodeState, type RpcClient, type NodeReport, type RpcRegistrar } from "@lycheepulley/nodes";
import type { Logger } from "@lycheepulley/telemetry";
import type { WeightStoreClient } from "@lycheepulley/weights";

import { ClaimRouter } from "../claims/ClaimRouter.js";
import type { ClaimShard } from "../claims/ClaimShard.js";
import { CONFIG_KEY, ConfigTracker } from "../config/ConfigTracker.js";
import { DutyRunner } from "../duties/DutyRunner.js";
import { FateFinder } from "../fates/FateFinder.js";
import { FateRecorder, type RequestTrace } from "../fates/FateRecorder.js";
import { Membership, type ControlAddress } from "../membership/Membership.js";
import { AtMostOnce } from "../requests/AtMostOnce.js";
import { PromptRunner, type PromptMetrics } from "../requests/PromptRunner.js";
import { ServiceRunner } from "../requests/ServiceRunner.js";
import { PoolHost } from "../scheduler/PoolHost.js";
import { PoolRouter } from "../scheduler/PoolRouter.js";
import { StrikeTracker } from "../scheduler/StrikeTracker.js";
import { getFateStream } from "../streams.js";
import { followEvacuations } from "../upstreams/followEvacuations.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import { bootstrapFromPeers } from "./bootstrap.js";
import { Drainer } from "./Drainer.js";
import { LogAccess } from "./LogAccess.js";
import { PauseDetector } from "./PauseDetector.js";
import { serveNodeMethods } from "./serveNodeMethods.js";
import { StatusReporter, type ServerTraffic } from "./StatusReporter.js";

export interface CoordinationNodeOptions {
  readonly self: Pick<
    NodeReport,
    "name" | "incarnation" | "failureDomain" | "host" | "port" | "controlPort"
  >;
  readonly site: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: LogClient;
  readonly weights: WeightStoreClient;
  readonly directory: UpstreamDirectory;
  readonly newClient: (name: string, address: ControlAddress) => RpcClient;
  readonly server: RpcRegistrar;
  readonly getServerTraffic: () => ServerTraffic;
  readonly newPolicy: () => PlacementPolicy;
  readonly protections: Protections;
  readonly logger: Logger;
  readonly traffic: TrafficMeter;
  readonly metrics?: PromptMetrics;
  readonly lifecycle?: ProcessLifecycle;
  /** Counts what callers have in progress besides requests that run. */
  readonly countInProgress?: () => number;
  /** Called with each step of each request; for tests. */
  readonly onStep?: (trace: RequestTrace, step: string) => void;
}

/** Creates and connects the serving components of one entry process. */
export class CoordinationNode {
  readonly log: LogAccess;
  readonly config: ConfigTracker;
  readonly membership: Membership;
  readonly poolHost: PoolHost;
  readonly pools: PoolRouter;
  readonly fates: FateRecorder;
  readonly finder: FateFinder;
  readonly duties: DutyRunner;
  readonly drainer: Drainer;
  readonly status: StatusReporter;
  readonly prompts: PromptRunner;
  readonly services: ServiceRunner;
  /** Process name and incarnation. */
  readonly holder: string;
  readonly #options: CoordinationNodeOptions;
  readonly #pauses: PauseDetector;
  readonly #refreshEvacuations: () => void;
  #onDrained: () => void = () => undefined;

  constructor(options: CoordinationNodeOptions) {
    const { self, site, clock, random, logger, protections, directory, traffic } = options;
    this.#options = options;
    this.holder = `${self.name}.${self.incarnation.toString(36)}`;
    this.log = new LogAccess({
      ...{ client: options.log, clock, random, logger, protections },
      writerName: this.holder,
    });
    this.config = new ConfigTracker({
      reader: this.log.control.reader,
      site,
      onError: (message) => {
        logger.warn(message, { step: "config" });
      },
    });
    this.membership = new Membership({ clock, random, self, newClient: options.newClient });
    this.#pauses = new PauseDetector({ clock, reader: this.log.control.reader });
    this.poolHost = this.#newPoolHost();
    const { holder, membership, poolHost: host, config, log } = this;
    this.pools = new PoolRouter({
      ...{ members: membership, clock, host, holder },
      hasPausedSince: (ms) => this.#pauses.hasPausedSince(ms),
    });
    this.fates = new FateRecorder({
      process: self.name,
      incarnation: self.incarnation,
      clock,
      writer: log.newWriter(getFateStream(self.name)),
      ...(options.onStep ? { onStep: options.onStep } : {}),
    });
    this.finder = new FateFinder({ recorder: this.fates, membership, log: log.client });
    this.duties = new DutyRunner({
      ...{ members: membership, config, directory, pools: host, clock, holder, protections },
      proposer: log.control,
      weights: options.weights,
      onError: (message) => {
        logger.warn(message, { step: "duty" });
      },
    });
    this.drainer = this.#newDrainer();
    this.status = new StatusReporter({
      ...{ membership, duties: this.duties, pools: host, log, traffic },
      getServerTraffic: options.getServerTraffic,
    });
    const common = {
      ...{ config, directory, clock, random, protections, holder, logger },
      once: this.#newOnce(),
      retries: new RetryBudget(),
    };
    const { metrics } = options;
    this.prompts = new PromptRunner({
      ...common,
      pools: this.pools,
      ...(metrics ? { metrics } : {}),
    });
    this.services = new ServiceRunner(common);
    const { reader } = log.control;
    this.#refreshEvacuations = followEvacuations({ reader, directory, logger });
    this.#serve();
    this.#subscribe();
  }

  get cfg(): FleetConfig | undefined {
    return this.config.current?.config;
  }

  /** Applies an answer of the platform's VM list. */
  applyVmList(list: VmList): void {
    this.#options.directory.applyList(list);
    this.membership.applyList(list);
  }

  /** Starts to read the log and to exchange heartbeats with other processes. */
  start(): void {
    this.log.control.reader.start();
    this.membership.start();
    void this.#joinWhenReady();
  }

  /** Resolves once a drain requested by an operator has finished. */
  waitForOperatorDrain(): Promise<void> {
    return new Promise((resolve) => {
      this.#onDrained = resolve;
    });
  }

  /** Stops without a drain; records that are queued for the log are still appended. */
  async stop(): Promise<void> {
    this.#pauses.stop();
    this.pools.close();
    this.poolHost.close();
    this.duties.stop();
    await Promise.all([this.membership.stop(), this.log.stop()]);
  }

  /**
   * Becomes live once the agreed state is known, from the log or, in its outage, from other
   * processes.
   */
  async #joinWhenReady(): Promise<void> {
    const { reader } = this.log.control;
    await bootstrapFromPeers({
      reader,
      clock: this.#options.clock,
      getClients: () => this.membership.getContactClients(),
    });
    this.config.adopt(reader.fold.getRegister(RecordKind.Config, CONFIG_KEY));
    this.#refreshEvacuations();
    this.membership.update({ state: NodeState.Live });
  }

  #subscribe(): void {
    const { logger } = this.#options;
    this.config.subscribe(({ revision, digest }) => {
      this.membership.update({ configRevision: revision, configDigest: digest });
      logger.info("configuration in force", { step: "config", revision, digest });
      this.#updateAppendShare();
    });
    this.membership.subscribe((members) => {
      const states = members.map(({ report, state }) => `${report.name}:${state}`);
      logger.info("membership changed", { step: "membership", states });
      this.#updateAppendShare();
    });
  }

  #updateAppendShare(): void {
    const appendsPerS = this.cfg?.limits.appendsPerS;
    if (appendsPerS !== undefined) {
      this.log.setAppendShare(appendsPerS, this.membership.getLive().length);
    }
  }

  #newPoolHost(): PoolHost {
    const { control } = this.log;
    const { clock, directory, protections, newPolicy, logger } = this.#options;
    const strikes = new StrikeTracker({
      fold: control.reader.fold,
      submit: this.#submitControl,
      isEnabled: protections.block,
    });
    control.reader.subscribe((folded) => {
      strikes.onFolded(folded);
    });
    return new PoolHost({
      ...{ members: this.membership, directory, clock, strikes, protections, newPolicy },
      isAgreedStateFresh: () => this.#pauses.isAgreedStateFresh(),
      getMaxQueued: () => this.cfg?.limits.maxQueuedRequests ?? Infinity,
      onEngineDeath: (engine, requestIds) => {
        logger.warn("engine declared dead", { peer: engine, step: "stream", requestIds });
      },
    });
  }

  #newOnce(): AtMostOnce {
    const { clock, random, protections } = this.#options;
    const router = new ClaimRouter({
      ...{ members: this.membership, clock, random },
      getShard: this.#getShard,
      getShardCount: () => this.cfg?.limits.claimShards ?? 1,
    });
    return new AtMostOnce({
      ...{ router, holder: this.holder, protections },
      wallNow: () => clock.wall(),
    });
  }

  #newDrainer(): Drainer {
    const { clock, logger, lifecycle = new ProcessLifecycle(), countInProgress } = this.#options;
    return new Drainer({
      ...{ membership: this.membership, duties: this.duties, fates: this.fates, clock, logger },
      ...{ lifecycle, countInProgress: () => this.fates.running + (countInProgress?.() ?? 0) },
      getAddressKeepMs: () => this.cfg?.limits.addressKeepMs ?? 0,
      getLongestPatienceMs: () =>
        Math.max(0, ...Object.values(this.cfg?.classes ?? {}).map((cls) => cls.patienceMs)),
      submitAudit: this.#submitControl,
    });
  }

  #serve(): void {
    serveNodeMethods({
      server: this.#options.server,
      membership: this.membership,
      pools: this.pools,
      reader: this.log.control.reader,
      fates: this.fates,
      status: this.status,
      getShard: this.#getShard,
      onDrain: (by) => {
        void this.drainer.drain(by).then(() => {
          this.#onDrained();
        });
      },
    });
  }

  readonly #submitControl = (draft: Draft): void => {
    this.log.control.writer.submit(draft);
  };

  readonly #getShard = (shard: number): ClaimShard =>
    this.log.getShard(shard, this.cfg?.limits.claimWindowMs ?? Infinity);
}
