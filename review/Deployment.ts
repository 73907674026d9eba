import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { call, type Outcome } from "./callers.js";
import { Gateway } from "./Gateway.js";
import { findFreePorts, sleep } from "./net.js";
import { StoreStandin } from "./StoreStandin.js";
import { ENGINE, WorkerStandin, type Run, type WorkerOptions } from "./WorkerStandin.js";

const ZONES = ["lisboa-a", "lisboa-b", "lisboa-c"] as const;
const HOST_NAME = "ficu95.example";
const API_KEY = "n2ctnfzs989anu6wsjnb";
const PROMPTS = "dele69a";
const CALLS = "xano55b";
const HEARTBEAT_MS = 1_200;
const START_MS = 20_000;
/** Time for the processes to hear of each other. */
const SETTLE_MS = 2_000;

const newRoute = (name: string, fields: object): object => ({
  ...{ name, host: HOST_NAME, path_prefix: `/${name}/`, priority: 1, attempts: 2, ...fields },
});

/** Configuration like that of caixa-lisboa. */
export const newConfig = (version: number, fields: object = {}): object => ({
  version,
  routes: [
    newRoute("note", {
      ...{ route_type: "streaming", service: PROMPTS, stream_resume: true, gap_aim_ms: 250 },
      ...{ timeout_ms: 10_000, target_latency_ms: 300 },
    }),
    newRoute("review", {
      ...{ route_type: "streaming", service: PROMPTS, stream_resume: true, gap_aim_ms: 1_000 },
      ...{ timeout_ms: 15_000, target_latency_ms: 3_000 },
    }),
    newRoute("save", {
      ...{ route_type: "unsafe", service: CALLS, attempts: 1, priority: 2 },
      ...{ timeout_ms: 1_000, target_latency_ms: 150 },
    }),
    newRoute("preview", {
      ...{ route_type: "safe", service: CALLS, priority: 2 },
      ...{ timeout_ms: 1_000, target_latency_ms: 150 },
    }),
  ],
  services: [{ name: PROMPTS, health_path: "/health", engine: ENGINE }, { name: CALLS }],
  limits: {
    ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
    ...{ header_timeout_ms: 5_000, idle_timeout_ms: 15_000 },
  },
  tenants: [{ name: "hule930", api_keys: [API_KEY] }],
  ...fields,
});

/** A small deployment on loopback addresses: gateways as processes, the rest as stand-ins. */
export class Deployment {
  readonly runs: Run[] = [];
  readonly gateways: Gateway[] = [];
  readonly prompts: WorkerStandin[] = [];
  readonly calls: WorkerStandin[] = [];
  readonly store = new StoreStandin();
  readonly #movedStore = new StoreStandin();
  #liveStore = this.store;
  readonly #startedMs = performance.now();
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #subnet = `127.${String(64 + Math.floor(Math.random() * 128))}.${String(Math.floor(Math.random() * 256))}`;
  readonly #sequences = new Map<string, number>();
  #heartbeat: NodeJS.Timeout | undefined;
  #frontendPort = 0;
  #nextId = 1;

  /** Milliseconds since the start of the case. */
  readonly now = (): number => performance.now() - this.#startedMs;

  get folder(): string {
    return this.#folder;
  }

  async start(options: {
    gateways: number;
    prompts: number;
    calls: number;
    worker?: Partial<WorkerOptions>;
  }): Promise<void> {
    const storePort = await this.store.listen(`${this.#subnet}.1`);
    const newWorker = (id: string, last: number): WorkerStandin =>
      new WorkerStandin({
        ...{ id, host: `${this.#subnet}.${String(last)}`, now: this.now, runs: this.runs },
        findWorker: (address) => this.prompts.find((worker) => worker.address === address),
        ...options.worker,
      });
    for (let index = 0; index < options.prompts; index++) {
      this.prompts.push(newWorker(`i-llm-${String(index)}`, 100 + index));
    }
    for (let index = 0; index < options.calls; index++) {
      this.calls.push(newWorker(`i-app-${String(index)}`, 150 + index));
    }
    await Promise.all([...this.prompts, ...this.calls].map((worker) => worker.listen()));
    this.configure(newConfig(3));
    this.#beat();
    await this.#startGateways(options.gateways, storePort);
  }

  async #startGateways(count: number, storePort: number): Promise<void> {
    const hosts = Array.from(
      { length: count },
      (_, index) => `${this.#subnet}.${String(11 + index)}`,
    );
    const [frontend = 0, ready = 0, directory = 0, control = 0, internal = 0] = await findFreePorts(
      hosts,
      5,
    );
    this.#frontendPort = frontend;
    hosts.forEach((host, index) => {
      const gateway = new Gateway({
        ...{ host, index: index + 1, zone: ZONES[index % ZONES.length] ?? "", zones: ZONES },
        ...{ seeds: hosts.slice(0, 3), ports: { frontend, ready, directory, control, internal } },
        ...{ storeAddress: `${this.#subnet}.1:${String(storePort)}`, folder: this.#folder },
      });
      this.gateways.push(gateway);
      gateway.start();
    });
    const areReady = await Promise.all(
      this.gateways.map((gateway) => gateway.waitUntilReady(START_MS)),
    );
    if (!areReady.every(Boolean)) {
      throw new Error("the gateways did not get ready");
    }
    await sleep(SETTLE_MS);
  }

  /** Writes the entries of all workers, as each does at its heartbeat. */
  #beat(): void {
    const write = (service: string) => (worker: WorkerStandin, index: number) => {
      const sequence = (this.#sequences.get(worker.id) ?? 0) + 1;
      this.#sequences.set(worker.id, sequence);
      this.#liveStore.put("keyed.servers", worker.id, {
        ...{ service, address: worker.address, zone: ZONES[index % ZONES.length] },
        ...{ version: "1", slots: ENGINE.slots, state: "ready", warmup_left_ms: 0, sequence },
      });
    };
    this.prompts.forEach(write(PROMPTS));
    this.calls.forEach(write(CALLS));
    this.#heartbeat = setTimeout(() => {
      this.#beat();
    }, HEARTBEAT_MS);
  }

  /** Sends a request of a client to a gateway. */
  send(
    gateway: Gateway,
    options: {
      route: string;
      method?: string;
      body?: string;
      tokens?: readonly [prompt: number, output: number];
      timeoutMs: number;
      headers?: Readonly<Record<string, string>>;
    },
  ): Promise<Outcome> {
    const id = this.#nextId++;
    const { tokens } = options;
    const part = id.toString(16).padStart(8, "0");
    const prompt = tokens && {
      ...{ "X-Model": "m", "X-Token-Counts": tokens.join(",") },
      "X-Prompt-Prefix": `0${part}:40,f${part}:${String(tokens[0] - 40)}`,
    };
    return call({
      ...{ host: gateway.host, port: this.#frontendPort, now: this.now },
      ...{ method: options.method ?? "POST", path: `/${options.route}/${String(id)}` },
      attemptId: `a${part}${Math.floor(Math.random() * 2 ** 32).toString(16)}`,
      headers: { Host: HOST_NAME, "Api-Key": API_KEY, ...prompt, ...options.headers },
      body: options.body ?? `body ${String(id)}`,
      timeoutMs: options.timeoutMs,
    });
  }

  /**
   * Moves the platform's store to another address: its records go along, the settings files name the new
   * address, and two of three processes get SIGHUP. The store at the old address answers no more calls.
   */
  async moveStore(): Promise<void> {
    const port = await this.#movedStore.listen(`${this.#subnet}.2`);
    this.#movedStore.copyFrom(this.store);
    this.#liveStore = this.#movedStore;
    this.gateways.forEach((gateway, index) => {
      gateway.writeSettings(`${this.#subnet}.2:${String(port)}`);
      if (index % 3 !== 2) {
        gateway.signal("SIGHUP");
      }
    });
    this.store.close();
  }

  /** The operator writes a configuration; the store has acknowledged it on return. */
  configure(config: object): void {
    this.#liveStore.put("keyed.op", "config", config);
  }

  async close(): Promise<void> {
    clearTimeout(this.#heartbeat);
    this.gateways.forEach((gateway) => {
      gateway.signal("SIGCONT");
    });
    await Promise.all(this.gateways.map((gateway) => gateway.kill()));
    [...this.prompts, ...this.calls].forEach((worker) => {
      worker.close();
    });
    this.store.close();
    this.#movedStore.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    }
  }
}
