import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { findFreePorts, sleep } from "./net.js";
import { StoreStandin } from "./StoreStandin.js";

/** Root of the repository, in which the programs of the deploy file run. */
const ROOT = new URL("../../../", import.meta.url).pathname;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const CALL_TIMEOUT_MS = 1_000;

/** Host of all routes, and the key of the only tenant. */
export const ROUTE_HOST = "studio.example";
export const API_KEY = "key-1";
/** Names of the two services. */
export const LLM = "studio-llm";
export const APP = "studio-app";
/** Zone of all machines and workers. */
export const ZONE = "lisboa-a";

/** Engine constants of the small deployments, as the sheet of caixa-lisboa gives them. */
const ENGINE = {
  ...{ slots: 11, kv_tokens: 232_000, kv_bytes: 327_680, link_mbps: 400_000, stride: 43 },
  ...{ models: [{ name: "m" }], step_ms: 1.02, per_seq_ms: 0.0033, context_per_k: 0.00431 },
  ...{ read_per_s: 206_000, pairs_per_m: 0.138, chunk: 2_048, report_lag_ms: 200, hop_ms: 0.075 },
};

const newRoute = (name: string, fields: object): object => ({
  ...{ name, host: ROUTE_HOST, path_prefix: `/${name}/`, priority: 1, public: false, attempts: 2 },
  ...fields,
});

const LIMITS = {
  ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
  ...{ header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** The operator's configuration, with a route for each kind of request of the sheet. */
const newConfig = (version: number): object => ({
  version,
  routes: [
    newRoute("archive", {
      ...{ route_type: "streaming", service: LLM, stream_resume: true, sticky: true },
      ...{ timeout_ms: 15_000, target_latency_ms: 3_000, gap_aim_ms: 1_000 },
    }),
    newRoute("save", {
      ...{ route_type: "unsafe", service: APP, attempts: 1 },
      ...{ timeout_ms: 1_000, target_latency_ms: 193 },
    }),
  ],
  services: [
    { name: LLM, engine: ENGINE, health_path: "/health", max_connections: 424 },
    { name: APP, health_path: "/health", max_connections: 96 },
  ],
  limits: LIMITS,
  tenants: [{ name: "studio", api_keys: [API_KEY], priority: 1 }],
});

interface Ports {
  readonly frontend: number;
  readonly ready: number;
  readonly control: number;
  readonly directory: number;
  readonly internal: number;
}

/** The `run` line of the gateway in the deploy file. */
const readRunLine = (): string[] => {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return (/^run = "(.+)"$/m.exec(text)?.[1] ?? "").split(" ");
};

/** Starts the store's stand-in and gateway processes of a small deployment, each at an address of its own. */
export class Deployment {
  readonly store = new StoreStandin();
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #children = new Map<string, ChildProcess>();
  #hosts: readonly string[] = [];
  #ports: Ports = { frontend: 0, ready: 0, control: 0, directory: 0, internal: 0 };

  get frontendPort(): number {
    return this.#ports.frontend;
  }

  /** `onStore` is called once the store takes entries of workers. */
  async start(hosts: readonly string[], onStore: () => void): Promise<void> {
    await this.store.listen();
    onStore();
    this.store.put("keyed.op", "config", newConfig(1));
    const ports = await findFreePorts(5);
    const [frontend = 0, ready = 0, control = 0, directory = 0, internal = 0] = ports;
    this.#ports = { frontend, ready, control, directory, internal };
    this.#hosts = hosts;
    hosts.forEach((host) => {
      this.#startGateway(host);
    });
    await Promise.all(hosts.map((host) => this.#waitUntilReady(host)));
  }

  /** Stops a gateway with SIGTERM, and starts it again once it has ended. */
  async restart(host: string): Promise<void> {
    const child = this.#children.get(host);
    if (child) {
      const ended = once(child, "exit");
      child.kill("SIGTERM");
      await ended;
    }
    this.#startGateway(host);
    await this.#waitUntilReady(host);
  }

  /** Ends all processes that were started. */
  close(): void {
    this.#children.forEach((child) => child.kill("SIGKILL"));
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #startGateway(host: string): void {
    const settings = join(this.#folder, `${host}.toml`);
    writeFileSync(settings, this.#newSettings(host));
    const [program = "", ...args] = readRunLine();
    const log = openSync(join(this.#folder, `${host}.log`), "a");
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env["PATH"], LYCHEEPULLEY_BOOT: settings },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#children.set(host, child);
  }

  #newSettings(host: string): string {
    const ports = this.#ports;
    const at = (port: number): string => `"${host}:${String(port)}"`;
    const seeds = this.#hosts.map((seed) => `"${seed}:${String(ports.control)}"`).join(", ");
    return [
      ...[`node_name = "edge-${host}"`, 'role = "gateway"', 'machine_class = "edge"'],
      ...['serves = ["edge", "control", "registry"]', `ip = "${host}"`],
      ...[`zone = "${ZONE}"`, 'region = "lisboa"', `seeds = [${seeds}]`],
      `internal_ports = [${String(ports.internal)}, ${String(ports.internal)}]`,
      ...["bootstrap = true", "heartbeat_ms = 1200", "[zones]", `${ZONE} = "lisboa"`],
      ...["[listen]", `frontend = ${at(ports.frontend)}`, `ready = ${at(ports.ready)}`],
      ...[`control = ${at(ports.control)}`, `directory = ${at(ports.directory)}`],
      ...["[limits]", "cpu_share = 0.675", "cores = 1", "memory_mb = 350", "max_fds = 4200"],
      ...["link_mbps = 1000.0", "[bounds]", "drain_ms = 2000", "grace_s = 8"],
      ...["retry_budget_ratio = 0.2", "retry_window_s = 10", "retry_slack = 100"],
      ...["ttl_max_s = 5", "[platform]", `address = "127.0.0.1:${String(this.store.port)}"`],
    ].join("\n");
  }

  async #waitUntilReady(host: string): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await isReady(host, this.#ports.ready))) {
      if (performance.now() > endMs) {
        throw new Error(`gateway ${host} isn't ready`);
      }
      await sleep(READY_POLL_MS);
    }
  }
}

const isReady = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const req = get({ host, port, path: "/v1/readiness", agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("error", () => {
      resolve(false);
    });
    req.setTimeout(CALL_TIMEOUT_MS, () => req.destroy());
  });
