import {
  LeastTokensPlacement,
  PeerError,
  PromptPath,
  SeededRandom,
  sha256,
  TrafficMeter,
  withTimeout,
  type PromptRequest,
  type Protections,
  type ServiceRequest,
  type VmList,
} from "@lycheepulley/core";
import type { RpcClient, RpcMethod, RpcRegistrar } from "@lycheepulley/nodes";
import { CoordinationNode, UpstreamDirectory, type RequestTrace } from "@lycheepulley/serving";
import { newSilentLogger } from "@lycheepulley/telemetry";
import type { z } from "zod";

import type { FakeEngine } from "./FakeEngine.js";
import type { FakeLog } from "./FakeLog.js";
import type { FakeService } from "./FakeService.js";
import { ProcessClock, type MatrixClock } from "./MatrixClock.js";

const VM_LIST_INTERVAL_MS = 1_000;
const LINK_DELAY_MS = 2;
const DEFAULT_CALL_TIMEOUT_MS = 1_500;

type RpcHandler = (params: unknown) => unknown;

/** What surrounds the processes of one cell. */
export interface MatrixSurroundings {
  readonly clock: MatrixClock;
  readonly log: FakeLog;
  readonly protections: Protections;
  readonly vmList: VmList;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
  readonly processes: readonly MatrixProcess[];
}

/** One entry process of a cell: the real coordination code, with fake upstreams, log and links. */
export class MatrixProcess {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly node: CoordinationNode;
  readonly #world: MatrixSurroundings;
  readonly #handlers = new Map<string, RpcHandler>();
  /** Configuration revisions applied by this process, in order. */
  readonly revisions: { readonly revision: number; readonly atMs: number }[] = [];
  onStep: (trace: RequestTrace, step: string) => void = () => undefined;

  constructor(options: {
    world: MatrixSurroundings;
    name: string;
    domain: string;
    index: number;
    seed: number;
  }) {
    const { world, name, domain, index, seed } = options;
    this.name = name;
    this.#world = world;
    this.clock = new ProcessClock(world.clock);
    const { clock } = this;
    const server: RpcRegistrar = {
      handle: (method, fn) => {
        this.#handlers.set(method.name, (params) => fn(method.params.parse(params)));
      },
    };
    this.node = new CoordinationNode({
      self: {
        ...{ name, failureDomain: domain, host: "h", port: 300 + index, controlPort: 400 + index },
        incarnation: clock.wall(),
      },
      site: domain,
      clock,
      random: new SeededRandom(seed * 10 + index + 1),
      log: world.log.newClient((work) => clock.settleWhenRunning(work)),
      weights: { fetchInfo: () => Promise.resolve({ bytes: 1, maxConcurrentLoads: 2 }) },
      directory: new UpstreamDirectory({
        newEngineClient: ({ id }) => this.#findEngine(id).newClient(clock),
        newServiceClient: ({ id }) => this.#findService(id).newClient(clock),
      }),
      newClient: (peer, { controlPort }) => this.#newClient(peer, controlPort),
      server,
      getServerTraffic: () => ({
        connections: 0,
        sentBytes: 0,
        receivedBytes: 0,
        loopDelayMaxMs: 0,
      }),
      newPolicy: () => new LeastTokensPlacement(),
      protections: world.protections,
      logger: newSilentLogger(),
      traffic: new TrafficMeter(),
      onStep: (trace, step) => {
        this.onStep(trace, step);
      },
    });
    this.node.config.subscribe(({ revision }) => {
      this.revisions.push({ revision, atMs: clock.now() });
    });
  }

  start(): void {
    this.#pollVmList();
    this.node.start();
  }

  /** Stops the process at once, as a crash does. */
  kill(): void {
    this.clock.kill();
    this.node.log.abort();
  }

  newPrompt(options: {
    text: string;
    key?: string | undefined;
    signal: AbortSignal;
  }): PromptRequest {
    const { text, key, signal } = options;
    return {
      path: PromptPath.Chat,
      body: JSON.stringify({ prompt: text }),
      model: "m",
      promptBytes: text.length,
      maxTokens: 6,
      className: key === undefined ? "quick" : "once",
      customer: "c",
      idempotencyKey: key,
      fingerprint: sha256(text),
      prefixBlocks: [],
      signal,
    };
  }

  newSave(options: { text: string; key: string; signal: AbortSignal }): ServiceRequest {
    return {
      service: "s",
      method: "POST",
      path: "/save",
      contentType: "text/plain",
      body: Buffer.from(options.text),
      customer: "c",
      idempotencyKey: options.key,
      signal: options.signal,
    };
  }

  /** Handles an RPC call of another process. */
  async invoke(method: string, params: unknown): Promise<unknown> {
    const handler = this.#handlers.get(method);
    if (this.clock.isDead || !handler) {
      throw new PeerError(this.name, "connection refused", { sent: false });
    }
    return this.clock.settleWhenRunning(
      new Promise((resolve, reject) => {
        this.clock.run(() => {
          Promise.resolve()
            .then(() => handler(params))
            .then(resolve, reject);
        });
      }),
    );
  }

  #pollVmList(): void {
    this.node.applyVmList(this.#world.vmList);
    this.clock.setTimer(() => {
      this.#pollVmList();
    }, VM_LIST_INTERVAL_MS);
  }

  #newClient(peer: string, controlPort: number): RpcClient {
    const call = async <P extends z.ZodType, R extends z.ZodType>(
      method: RpcMethod<P, R>,
      params: z.input<P>,
      options: { timeoutMs?: number } = {},
    ): Promise<z.output<R>> => {
      const answer = await this.clock.settleWhenRunning(
        withTimeout(this.#callOverLink(controlPort, method.name, params), {
          clock: this.#world.clock,
          timeoutMs: options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS,
          what: method.name,
        }),
      );
      return method.result.parse(answer);
    };
    return { name: peer, call, close: () => Promise.resolve() };
  }

  async #callOverLink(controlPort: number, method: string, params: unknown): Promise<unknown> {
    const target = this.#world.processes[controlPort - 400];
    await this.#delay();
    const sent: unknown = JSON.parse(JSON.stringify(params));
    const answer = await target?.invoke(method, sent);
    await this.#delay();
    return JSON.parse(JSON.stringify(answer));
  }

  #delay(): Promise<void> {
    return new Promise((resolve) => {
      this.#world.clock.setTimer(resolve, LINK_DELAY_MS);
    });
  }

  #findEngine(id: string): FakeEngine {
    const engine = this.#world.engines.find(({ name }) => name === id);
    if (!engine) {
      throw new Error(`unknown engine ${id}`);
    }
    return engine;
  }

  #findService(id: string): FakeService {
    const service = this.#world.services.find(({ name }) => name === id);
    if (!service) {
      throw new Error(`unknown service ${id}`);
    }
    return service;
  }
}
