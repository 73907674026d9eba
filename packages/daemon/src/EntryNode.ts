import {
  ALL_PROTECTIONS,
  RecordKind,
  RegisterFold,
  RetryBudget,
  SystemClock,
  SystemRandom,
  TokenBucket,
  TrafficMeter,
  type Clock,
  type Random,
} from "@lycheepulley/core";
import { CallerServer } from "@lycheepulley/callers";
import { ExtendedEngineClient } from "@lycheepulley/engines";
import { FoldReader, HttpLogClient, LogWriter, Proposer } from "@lycheepulley/log";
import {
  claimEndMethod,
  claimMethod,
  NodeClient,
  NodeServer,
  NodeState,
} from "@lycheepulley/nodes";
import { HttpServiceClient } from "@lycheepulley/services";
import {
  AtMostOnce,
  ClaimRouter,
  ClaimShard,
  ConfigKeeper,
  CONFIG_KEY,
  CONTROL_STREAM,
  FateRecorder,
  getClaimStream,
  getFateStream,
  Membership,
  PoolHost,
  PoolRouter,
  PromptRunner,
  ServiceRunner,
  SuspectBook,
  UpstreamDirectory,
} from "@lycheepulley/serving";
import { Poller } from "@lycheepulley/streams";
import { Metrics, newLogger, type Logger } from "@lycheepulley/telemetry";
import { HttpVmListClient } from "@lycheepulley/vmlist";

import { NodeApi } from "./NodeApi.js";
import { newPlacement } from "./placement.js";
import type { Settings } from "./settings.js";

const VM_LIST_INTERVAL_MS = 1_000;
const DEFAULT_APPENDS_PER_S = 300;
const APPEND_BURST = 10;
const DEFAULT_SHARDS = 6;
const DEFAULT_CLAIM_WINDOW_MS = 3_600_000;
const DEFAULT_MAX_QUEUED = 2_000;

/** One entry process: every part wired to its peers. */
export class EntryNode {
  readonly settings: Settings;
  readonly #clock: Clock = new SystemClock();
  readonly #random: Random = new SystemRandom();
  readonly #incarnation = Date.now();
  readonly #writerName: string;
  readonly #logger: Logger;
  readonly #traffic = new TrafficMeter();
  readonly #metrics = new Metrics();
  readonly #log: HttpLogClient;
  readonly #budget: TokenBucket;
  readonly #control: Proposer;
  readonly #config: ConfigKeeper;
  readonly #membership: Membership;
  readonly #directory: UpstreamDirectory;
  readonly #vmList: Poller<Awaited<ReturnType<HttpVmListClient["fetchVms"]>>>;
  readonly #pools: PoolRouter;
  readonly #poolHost: PoolHost;
  readonly #shards = new Map<number, ClaimShard>();
  readonly #shardReaders: FoldReader[] = [];
  readonly #fates: FateRecorder;
  readonly #nodeServer = new NodeServer();
  readonly #callerServer: CallerServer;

  constructor(settings: Settings) {
    this.settings = settings;
    const { name, failureDomain, host, callerPort, controlPort, platform } = settings;
    this.#writerName = `${name}.${this.#incarnation.toString(36)}`;
    this.#logger = newLogger({ process: name, level: settings.logLevel });
    this.#log = new HttpLogClient({ origin: platform.log, traffic: this.#traffic });
    this.#budget = new TokenBucket({
      clock: this.#clock,
      ratePerS: DEFAULT_APPENDS_PER_S,
      burst: APPEND_BURST,
    });
    this.#control = this.#newProposer(CONTROL_STREAM, new RegisterFold());
    const warn = (message: string): void => {
      this.#logger.warn(message, { step: "config" });
    };
    const { reader } = this.#control;
    this.#config = new ConfigKeeper({ reader, site: settings.site, onError: warn });
    this.#membership = new Membership({
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
    this.#directory = this.#newDirectory();
    this.#vmList = this.#newVmListPoller();
    const suspects = this.#newSuspectBook();
    this.#poolHost = new PoolHost({
      members: this.#membership,
      directory: this.#directory,
      clock: this.#clock,
      suspects,
      protections: ALL_PROTECTIONS,
      newPolicy: () => newPlacement(settings.placement, this.#random),
      getMaxQueued: () =>
        this.#config.current?.config.limits.maxQueuedRequests ?? DEFAULT_MAX_QUEUED,
      onEngineDeath: (engine, requestIds) => {
        this.#logger.warn("engine died", { peer: engine, step: "stream", requestIds });
      },
    });
    this.#pools = new PoolRouter({
      members: this.#membership,
      clock: this.#clock,
      host: this.#poolHost,
      holder: this.#writerName,
    });
    this.#fates = new FateRecorder({
      process: name,
      incarnation: this.#incarnation,
      clock: this.#clock,
      writer: this.#newWriter(getFateStream(name)),
    });
    this.#callerServer = new CallerServer(this.#newApi());
    this.#serveNodes();
  }

  async start(): Promise<void> {
    const { host, callerPort, controlPort, name } = this.settings;
    await this.#nodeServer.listen(host, controlPort);
    this.#control.reader.start();
    this.#vmList.start();
    this.#membership.start();
    void this.#control.reader.waitCaughtUp().then(() => {
      this.#config.adopt(this.#control.reader.fold.getRegister(RecordKind.Config, CONFIG_KEY));
      this.#membership.update({ state: NodeState.Live });
    });
    this.#config.subscribe(({ revision, digest, config }) => {
      this.#membership.update({ configRevision: revision, configDigest: digest });
      this.#logger.info("configuration in force", { step: "config", revision, digest });
      this.#setAppendShare(config.limits.appendsPerS);
    });
    this.#membership.subscribe(() => {
      this.#setAppendShare(
        this.#config.current?.config.limits.appendsPerS ?? DEFAULT_APPENDS_PER_S,
      );
    });
    await this.#callerServer.listen(host, callerPort);
    this.#logger.info("entry process started", { step: "start", name });
  }

  async stop(): Promise<void> {
    await this.#callerServer.close();
    await this.#fates.flush();
    this.#pools.close();
    this.#poolHost.close();
    await Promise.all([
      this.#membership.stop(),
      this.#vmList.stop(),
      this.#control.reader.stop(),
      ...this.#shardReaders.map((reader) => reader.stop()),
    ]);
    await this.#nodeServer.close();
    await this.#directory.close();
    await this.#log.close();
  }

  #setAppendShare(appendsPerS: number): void {
    this.#budget.setRate(appendsPerS / Math.max(1, this.#membership.getLive().length));
  }

  #newWriter(stream: string): LogWriter {
    return new LogWriter({
      log: this.#log,
      stream,
      clock: this.#clock,
      random: this.#random,
      writer: this.#writerName,
      budget: this.#budget,
      onError: (message) => {
        this.#logger.debug(message, { step: "log_append", peer: "log" });
      },
    });
  }

  #newProposer(stream: string, fold: RegisterFold, isWindowed = false): Proposer {
    const reader = new FoldReader({
      log: this.#log,
      stream,
      clock: this.#clock,
      fold,
      isWindowed,
      onError: (message) => {
        this.#logger.debug(message, { step: "log_read", peer: "log" });
      },
    });
    return new Proposer({
      writer: this.#newWriter(stream),
      reader,
      clock: this.#clock,
      writerName: this.#writerName,
    });
  }

  #newDirectory(): UpstreamDirectory {
    const traffic = this.#traffic;
    return new UpstreamDirectory({
      newEngineClient: ({ id, host, port }) =>
        new ExtendedEngineClient({ name: id, origin: `http://${host}:${String(port)}`, traffic }),
      newServiceClient: ({ id, host, port }) =>
        new HttpServiceClient({ name: id, origin: `http://${host}:${String(port)}` }),
    });
  }

  #newVmListPoller(): Poller<Awaited<ReturnType<HttpVmListClient["fetchVms"]>>> {
    const client = new HttpVmListClient({
      origin: this.settings.platform.vmList,
      traffic: this.#traffic,
    });
    const poller = new Poller({
      clock: this.#clock,
      fetch: () => client.fetchVms(),
      intervalMs: () => VM_LIST_INTERVAL_MS,
    });
    poller.subscribe((polled) => {
      if (polled.ok) {
        this.#directory.mutateWithList(polled.value);
        this.#membership.mutateWithList(polled.value);
      }
    });
    return poller;
  }

  #newSuspectBook(): SuspectBook {
    const { reader, writer } = this.#control;
    return new SuspectBook({
      fold: reader.fold,
      submit: (draft) => {
        writer.submit(draft);
      },
      isEnabled: true,
    });
  }

  #getShard(shard: number): ClaimShard {
    const known = this.#shards.get(shard);
    if (known) {
      return known;
    }
    const limits = this.#config.current?.config.limits;
    const retentionMs = { [RecordKind.Claim]: limits?.claimWindowMs ?? DEFAULT_CLAIM_WINDOW_MS };
    const fold = new RegisterFold({ retentionMs });
    const proposer = this.#newProposer(getClaimStream(shard), fold, true);
    proposer.reader.start();
    this.#shardReaders.push(proposer.reader);
    const made = new ClaimShard({ proposer, clock: this.#clock, protections: ALL_PROTECTIONS });
    this.#shards.set(shard, made);
    return made;
  }

  #newApi(): NodeApi {
    const router = new ClaimRouter({
      members: this.#membership,
      clock: this.#clock,
      random: this.#random,
      getShard: (shard) => this.#getShard(shard),
      getShardCount: () => this.#config.current?.config.limits.claimShards ?? DEFAULT_SHARDS,
    });
    const once = new AtMostOnce({
      router,
      holder: this.#writerName,
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
      prompts: new PromptRunner({ ...common, pools: this.#pools, metrics }),
      services: new ServiceRunner(common),
      metrics,
    });
  }

  #serveNodes(): void {
    this.#membership.serve(this.#nodeServer);
    this.#pools.serve(this.#nodeServer);
    this.#nodeServer.handle(claimMethod, ({ shard, request, waitMs }) =>
      this.#getShard(shard).claim(request, waitMs),
    );
    this.#nodeServer.handle(claimEndMethod, async ({ shard, waitMs, ...end }) => ({
      done: await this.#getShard(shard).end(end, waitMs),
    }));
  }
}
