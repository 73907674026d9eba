import {
  ALL_PROTECTIONS,
  ProcessLifecycle,
  SystemClock,
  SystemRandom,
  TrafficMeter,
  type Clock,
  type OverloadControl,
  type Random,
} from "@lycheepulley/core";
import { CallerServer } from "@lycheepulley/callers";
import { HttpLogClient } from "@lycheepulley/log";
import { NodeClient, NodeServer } from "@lycheepulley/nodes";
import { CoordinationNode, type UpstreamDirectory } from "@lycheepulley/serving";
import { Metrics, newLogger, type Logger } from "@lycheepulley/telemetry";
import { HttpWeightStoreClient } from "@lycheepulley/weights";

import { LoopDelayMonitor } from "./LoopDelayMonitor.js";
import { NodeApi } from "./NodeApi.js";
import { addNodeGauges } from "./nodeGauges.js";
import { newOverloadControl } from "./newOverloadControl.js";
import { newPlacementPolicy } from "./placement.js";
import type { Settings } from "./settings.js";
import { newUpstreamDirectory } from "./upstreamClients.js";
import { VmListWatcher } from "./VmListWatcher.js";

/** One entry process: a coordination node with the HTTP clients and servers that it uses. */
export class EntryNode {
  readonly settings: Settings;
  readonly #clock: Clock = new SystemClock();
  readonly #random: Random = new SystemRandom();
  readonly #lifecycle = new ProcessLifecycle();
  readonly #logger: Logger;
  readonly #traffic = new TrafficMeter();
  readonly #log: HttpLogClient;
  readonly #directory: UpstreamDirectory;
  readonly #vmList: VmListWatcher;
  readonly #load: OverloadControl;
  readonly #nodeServer = new NodeServer();
  readonly #callerServer: CallerServer;
  readonly #node: CoordinationNode;
  readonly #loopDelay = new LoopDelayMonitor(this.#clock);

  constructor(settings: Settings) {
    this.settings = settings;
    const { name, platform } = settings;
    const clock = this.#clock;
    const traffic = this.#traffic;
    const metrics = new Metrics({ isOverloaded: () => this.#load.isOverloaded });
    this.#logger = newLogger({ process: name, level: settings.logLevel });
    this.#log = new HttpLogClient({ origin: platform.log, traffic });
    this.#directory = newUpstreamDirectory(traffic);
    this.#node = this.#newCoordinationNode(metrics);
    this.#vmList = new VmListWatcher({
      ...{ origin: platform.vmList, clock, traffic },
      onList: (list) => {
        this.#node.applyVmList(list);
      },
    });
    this.#load = newOverloadControl({
      ...{ clock, random: this.#random, metrics: metrics.overload, logger: this.#logger },
    });
    addNodeGauges(metrics, this.#node.status);
    this.#callerServer = new CallerServer(
      new NodeApi({ settings, node: this.#node, metrics, logger: this.#logger }),
      { clock, lifecycle: this.#lifecycle, load: this.#load, logger: this.#logger },
    );
  }

  async start(): Promise<void> {
    const { host, callerPort, controlPort, name } = this.settings;
    await this.#nodeServer.listen(host, controlPort);
    this.#vmList.start();
    this.#node.start();
    await this.#callerServer.listen(host, callerPort);
    this.#loopDelay.start();
    this.#logger.info("entry process started", { step: "start", name });
  }

  /** Withdraws the process from callers, releases its duties and waits for in-flight requests. */
  async drain(by: string): Promise<void> {
    await this.#node.drainer.drain(by);
  }

  /** Resolves once a drain requested by an operator has finished. */
  waitForOperatorDrain(): Promise<void> {
    return this.#node.waitForOperatorDrain();
  }

  /** Closes servers and clients without draining. */
  async stop(): Promise<void> {
    this.#loopDelay.stop();
    this.#load.stop();
    await this.#callerServer.close();
    await Promise.all([this.#node.stop(), this.#vmList.stop()]);
    await this.#nodeServer.close();
    await this.#directory.close();
    await this.#log.close();
  }

  #newCoordinationNode(metrics: Metrics): CoordinationNode {
    const { name, site, failureDomain, host, callerPort, controlPort, platform, placement } =
      this.settings;
    const traffic = this.#traffic;
    return new CoordinationNode({
      self: {
        ...{ name, failureDomain, host, controlPort },
        incarnation: Date.now(),
        port: callerPort,
      },
      site,
      clock: this.#clock,
      random: this.#random,
      lifecycle: this.#lifecycle,
      countInProgress: () => this.#callerServer.countInProgress(),
      log: this.#log,
      weights: new HttpWeightStoreClient({ origin: platform.weightStore, traffic }),
      directory: this.#directory,
      newClient: (peer, address) =>
        new NodeClient({
          name: peer,
          origin: `http://${address.host}:${String(address.controlPort)}`,
          traffic,
        }),
      server: this.#nodeServer,
      getServerTraffic: () => ({
        connections: this.#nodeServer.connections,
        ...this.#nodeServer.traffic,
        loopDelayMaxMs: this.#loopDelay.maxMs,
      }),
      newPolicy: () => newPlacementPolicy(placement, this.#random),
      protections: ALL_PROTECTIONS,
      logger: this.#logger,
      traffic,
      metrics,
    });
  }
}
