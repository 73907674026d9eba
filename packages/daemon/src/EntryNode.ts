import {
  ALL_PROTECTIONS,
  RecordKind,
  RetryBudget,
  SystemClock,
  SystemRandom,
  TrafficMeter,
  type Clock,
  type FleetConfig,
  type Random,
} from "@lycheepulley/core";
import { CallerServer } from "@lycheepulley/callers";
import { NodeClient, NodeServer, NodeState } from "@lycheepulley/nodes";
import {
  AtMostOnce,
  ClaimRouter,
  CONFIG_KEY,
  ConfigKeeper,
  DutyRunner,
  FateFinder,
  FateRecorder,
  getFateStream,
  Membership,
  PoolHost,
  PoolRouter,
  PromptRunner,
  ServiceRunner,
  SuspectBook,
  type ClaimShard,
  type UpstreamDirectory,
} from "@lycheepulley/serving";
import { Metrics, newLogger, type Logger } from "@lycheepulley/telemetry";
import { HttpWeightStoreClient } from "@lycheepulley/weights";

import { bootstrapFromPeers } from "./bootstrap.js";
import { Drainer } from "./Drainer.js";
import { LogParts } from "./LogParts.js";
import { NodeApi } from "./NodeApi.js";
import { addNodeGauges } from "./nodeGauges.js";
import { newPlacement } from "./placement.js";
import { serveNodeMethods } from "./serveNodeMethods.js";
import type { Settings } from "./settings.js";
import { StatusReporter } from "./StatusReporter.js";
import { newUpstreamDirectory } from "./upstreamClients.js";
import { VmListWatcher } from "./VmListWatcher.js";

/** One entry process: every part wired to its peers. */
export class EntryNode {
  readonly settings: Settings;
  readonly #clock: Clock = new SystemClock();
  readonly #random: Random = new SystemRandom();
  readonly #incarnation = Date.now();
  readonly #holder: string;
  readonly #logger: Logger;
  readonly #traffic = new TrafficMeter();
  readonly #metrics = new Metrics();
  readonly #log: LogParts;
  readonly #config: ConfigKeeper;
  readonly #membership: Membership;
  readonly #directory: UpstreamDirectory;
  readonly #vmList: VmListWatcher;
  readonly #poolHost: PoolHost;
  readonly #pools: PoolRouter;
  readonly #fates: FateRecorder;
  readonly #finder: FateFinder;
  readonly #duties: DutyRunner;
  readonly #drainer: Drainer;
  readonly #status: StatusReporter;
  readonly #nodeServer = new NodeServer();
  readonly #callerServer: CallerServer;
  #onDrained: () => void = () => undefined;

  constructor(settings: Settings) {
    this.settings = settings;
    const { name, platform } = settings;
    const clock = this.#clock;
    this.#holder = `${name}.${this.#incarnation.toString(36)}`;
    this.#logger = newLogger({ process: name, level: settings.logLevel });
    this.#log = new LogParts({
      origin: platform.log,
      clock,
      random: this.#random,
      writerName: this.#holder,
      logger: this.#logger,
      traffic: this.#traffic,
    });
    this.#config = new ConfigKeeper({
      reader: this.#log.control.reader,
      site: settings.site,
      onError: (message) => {
        this.#logger.warn(message, { step: "config" });
      },
    });
    this.#membership = this.#newMembership();
    this.#directory = newUpstreamDirectory(this.#traffic);
    this.#vmList = new VmListWatcher({
      origin: platform.vmList,
      clock,
      traffic: this.#traffic,
      onList: (list) => {
        this.#directory.mutateWithList(list);
        this.#membership.mutateWithList(list);
      },
    });
    this.#poolHost = this.#newPoolHost();
    this.#pools = new PoolRouter({
      members: this.#membership,
      clock,
      host: this.#poolHost,
      holder: this.#holder,
    });
    this.#fates = new FateRecorder({
      process: name,
      incarnation: this.#incarnation,
      clock,
      writer: this.#log.newWriter(getFateStream(name)),
    });
    this.#finder = new FateFinder({
      recorder: this.#fates,
      membership: this.#membership,
      log: this.#log.client,
    });
    this.#duties = this.#newDuties();
    this.#drainer = this.#newDrainer();
    this.#status = new StatusReporter({
      membership: this.#membership,
      duties: this.#duties,
      pools: this.#poolHost,
      log: this.#log,
      traffic: this.#traffic,
      server: this.#nodeServer,
    });
    addNodeGauges(this.#metrics, this.#status);
    this.#callerServer = new CallerServer(this.#newApi());
    serveNodeMethods({
      server: this.#nodeServer,
      membership: this.#membership,
      pools: this.#pools,
      reader: this.#log.control.reader,
      fates: this.#fates,
      status: this.#status,
      getShard: (shard) => this.#getShard(shard),
      onDrain: (by) => {
        void this.#drainer.drain(by).then(() => {
          this.#onDrained();
        });
      },
    });
  }

  /** Resolves once the process was drained on an operator's word. */
  waitDrained(): Promise<void> {
    return new Promise((resolve) => {
      this.#onDrained = resolve;
    });
  }

  async start(): Promise<void> {
    const { host, callerPort, controlPort, name } = this.settings;
    this.#subscribe();
    await this.#nodeServer.listen(host, controlPort);
    this.#log.control.reader.start();
    this.#vmList.start();
    this.#membership.start();
    await this.#callerServer.listen(host, callerPort);
    this.#logger.info("entry process started", { step: "start", name });
    void this.#joinWhenReady();
  }

  /** Leaves in good order. */
  async drain(by: string): Promise<void> {
    await this.#drainer.drain(by);
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    await this.#callerServer.close();
    this.#pools.close();
    this.#poolHost.close();
    this.#duties.stop();
    await Promise.all([this.#membership.stop(), this.#vmList.stop(), this.#log.stop()]);
    await this.#nodeServer.close();
    await this.#directory.close();
  }

  get #cfg(): FleetConfig | undefined {
    return this.#config.current?.config;
  }

  /** Joins once the agreed state is known, from the log or, in its outage, from peers. */
  async #joinWhenReady(): Promise<void> {
    const { reader } = this.#log.control;
    await bootstrapFromPeers({
      reader,
      clock: this.#clock,
      getCallers: () => this.#membership.getContactCallers(),
    });
    this.#config.adopt(reader.fold.getRegister(RecordKind.Config, CONFIG_KEY));
    this.#membership.update({ state: NodeState.Live });
  }

  #subscribe(): void {
    this.#config.subscribe(({ revision, digest }) => {
      this.#membership.update({ configRevision: revision, configDigest: digest });
      this.#logger.info("configuration in force", { step: "config", revision, digest });
      this.#splitAppends();
    });
    this.#membership.subscribe((members) => {
      const states = members.map(({ report, state }) => `${report.name}:${state}`);
      this.#logger.info("membership", { step: "membership", states });
      this.#splitAppends();
    });
  }

  #splitAppends(): void {
    const appendsPerS = this.#cfg?.limits.appendsPerS;
    if (appendsPerS !== undefined) {
      this.#log.setAppendShare(appendsPerS, this.#membership.getLive().length);
    }
  }

  #newMembership(): Membership {
    const { name, failureDomain, host, callerPort, controlPort } = this.settings;
    return new Membership({
      clock: this.#clock,
      random: this.#random,
      self: {
        name,
        incarnation: this.#incarnation,
        failureDomain,
        host,
        port: callerPort,
        controlPort,
      },
      newCaller: (peer, address) =>
        new NodeClient({
          name: peer,
          origin: `http://${address.host}:${String(address.controlPort)}`,
          traffic: this.#traffic,
        }),
    });
  }

  #newPoolHost(): PoolHost {
    const { control } = this.#log;
    const suspects = new SuspectBook({
      fold: control.reader.fold,
      submit: (draft) => {
        control.writer.submit(draft);
      },
      isEnabled: true,
    });
    control.reader.subscribe((folded) => {
      suspects.onFolded(folded);
    });
    return new PoolHost({
      members: this.#membership,
      directory: this.#directory,
      clock: this.#clock,
      suspects,
      protections: ALL_PROTECTIONS,
      newPolicy: () => newPlacement(this.settings.placement, this.#random),
      getMaxQueued: () => this.#cfg?.limits.maxQueuedRequests ?? Infinity,
      onEngineDeath: (engine, requestIds) => {
        this.#logger.warn("engine died", { peer: engine, step: "stream", requestIds });
      },
    });
  }

  #newDuties(): DutyRunner {
    return new DutyRunner({
      proposer: this.#log.control,
      members: this.#membership,
      config: this.#config,
      directory: this.#directory,
      weights: new HttpWeightStoreClient({
        origin: this.settings.platform.weightStore,
        traffic: this.#traffic,
      }),
      pools: this.#poolHost,
      clock: this.#clock,
      holder: this.#holder,
      protections: ALL_PROTECTIONS,
      onError: (message) => {
        this.#logger.warn(message, { step: "duty" });
      },
    });
  }

  #newDrainer(): Drainer {
    return new Drainer({
      membership: this.#membership,
      duties: this.#duties,
      fates: this.#fates,
      clock: this.#clock,
      logger: this.#logger,
      getKeepMs: () => this.#cfg?.limits.addressKeepMs ?? 0,
      getLongestPatienceMs: () =>
        Math.max(0, ...Object.values(this.#cfg?.classes ?? {}).map((cls) => cls.patienceMs)),
      submitAudit: (draft) => {
        this.#log.control.writer.submit(draft);
      },
    });
  }

  #getShard(shard: number): ClaimShard {
    const windowMs = this.#cfg?.limits.claimWindowMs ?? Infinity;
    return this.#log.getShard(shard, windowMs, ALL_PROTECTIONS);
  }

  #newApi(): NodeApi {
    const router = new ClaimRouter({
      members: this.#membership,
      clock: this.#clock,
      random: this.#random,
      getShard: (shard) => this.#getShard(shard),
      getShardCount: () => this.#cfg?.limits.claimShards ?? 1,
    });
    const once = new AtMostOnce({
      router,
      holder: this.#holder,
      wallNow: () => this.#clock.wall(),
      protections: ALL_PROTECTIONS,
    });
    const common = {
      config: this.#config,
      directory: this.#directory,
      once,
      retries: new RetryBudget(),
      clock: this.#clock,
      random: this.#random,
      protections: ALL_PROTECTIONS,
    };
    const metrics = this.#metrics;
    return new NodeApi({
      settings: this.settings,
      config: this.#config,
      membership: this.#membership,
      fates: this.#fates,
      finder: this.#finder,
      drainer: this.#drainer,
      logger: this.#logger,
      prompts: new PromptRunner({ ...common, pools: this.#pools, metrics }),
      services: new ServiceRunner(common),
      metrics,
    });
  }
}
