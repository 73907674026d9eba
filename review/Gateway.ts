import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync, renameSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { sleep } from "./net.js";

export const ROOT = fileURLToPath(new URL("../../../", import.meta.url));
const READY_POLL_MS = 50;

/** Ports of all processes; they differ by address. */
export interface Ports {
  readonly frontend: number;
  readonly ready: number;
  readonly directory: number;
  readonly control: number;
  readonly internal: number;
}

/** Words of the `run` line of the deploy file. */
const readRunWords = (): string[] => {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (line === undefined) {
    throw new Error("no run line in deploy/system.toml");
  }
  return line.split(" ");
};

/** One gateway process, started by the run line of the deploy file with a settings file of its own. */
export class Gateway {
  readonly host: string;
  readonly ports: Ports;
  readonly #folder: string;
  readonly #settingsFile: string;
  readonly #options: Parameters<typeof newSettings>[0];
  #child: ChildProcess | undefined;

  constructor(options: {
    host: string;
    index: number;
    zone: string;
    zones: readonly string[];
    seeds: readonly string[];
    ports: Ports;
    storeAddress: string;
    folder: string;
  }) {
    const { host, ports, folder } = options;
    this.#options = options;
    this.host = host;
    this.ports = ports;
    this.#folder = folder;
    this.#settingsFile = join(folder, `${host}.toml`);
    this.writeSettings(options.storeAddress);
  }

  /** Writes the settings file, whole at every moment. */
  writeSettings(storeAddress: string): void {
    const next = `${this.#settingsFile}.next`;
    writeFileSync(next, newSettings({ ...this.#options, storeAddress }));
    renameSync(next, this.#settingsFile);
  }

  start(): void {
    const [program = "", ...args] = readRunWords();
    const log = createWriteStream(join(this.#folder, `${this.host}.log`), { flags: "a" });
    const { PATH = "", HOME = "", LANG = "" } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LYCHEEPULLEY_BOOT: this.#settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
  }

  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  /** Signal or status with which the process ended; undefined while it runs. */
  get ended(): string | undefined {
    const { exitCode, signalCode } = this.#child ?? {};
    return signalCode ?? (exitCode === null ? undefined : String(exitCode));
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  async waitUntilReady(timeoutMs: number): Promise<boolean> {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if (await this.#isReady()) {
        return true;
      }
      await sleep(READY_POLL_MS);
    }
    return false;
  }

  #isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const req = get(
        { host: this.host, port: this.ports.ready, path: "/v1/readiness", agent: false },
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.setTimeout(1_000, () => req.destroy());
      req.on("error", () => {
        resolve(false);
      });
    });
  }

  /** Ends the process with SIGKILL, and waits for its end. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (child?.exitCode === null && child.signalCode === null) {
      const exited = once(child, "exit");
      child.kill("SIGKILL");
      await exited;
    }
  }
}

/** Settings as DEPLOY.md shows them, with the bounds of the site. */
const newSettings = (options: {
  host: string;
  index: number;
  zone: string;
  zones: readonly string[];
  seeds: readonly string[];
  ports: Ports;
  storeAddress: string;
}): string => {
  const { host, index, zone, zones, seeds, ports, storeAddress } = options;
  const at = (port: number): string => `"${host}:${String(port)}"`;
  return [
    `node_name = "edge-${zone}-${String(index)}"`,
    `role = "gateway"`,
    `machine_class = "edge"`,
    `serves = ["edge","control","registry"]`,
    `ip = "${host}"`,
    `zone = "${zone}"`,
    `region = "lisboa"`,
    `internal_ports = [${String(ports.internal)},${String(ports.internal + 15)}]`,
    `seeds = [${seeds.map((seed) => `"${seed}:${String(ports.control)}"`).join(",")}]`,
    "bootstrap = true",
    "in_tolerance = false",
    `discovery = "platform"`,
    `entry = "registry"`,
    "heartbeat_ms = 1200",
    `contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]`,
    "[zones]",
    ...zones.map((name) => `${name} = "lisboa"`),
    "[listen]",
    `frontend = ${at(ports.frontend)}`,
    `ready = ${at(ports.ready)}`,
    `control = ${at(ports.control)}`,
    `directory = ${at(ports.directory)}`,
    "[limits]",
    ...["cpu_share = 0.675", "cores = 1", "memory_mb = 350", "max_fds = 4200"],
    ...["link_mbps = 1000.0", "disk_mb = 0"],
    "[fault_tolerance]",
    ...["machines = 2", "zones = 0", "regions = 0"],
    "[bounds]",
    ...["seed_lag_s = 3", "reuse_after_s = 2", "stable_window_ms = 3000", "ack_ms = 4000"],
    ...["sync_s = 4", "drain_ms = 2000", "grace_s = 8", "loss_slack_ms = 200"],
    ...["config_apply_ms = 2000", "back_ms = 250", "stretch_max_ms = 5000"],
    ...["revoke_strict = false", "revoke_ms = 5000", "retry_budget_ratio = 0.2"],
    ...["retry_window_s = 10", "retry_slack = 100", "recover_s = 12", "pass_ms = 120"],
    ...["again_s = 0", "stall_ms = 1500", "hold_max_ms = 20000", "free_ms = 4000"],
    ...["idle_max_ms = 9000", "ttl_max_s = 5"],
    "[platform]",
    `address = "${storeAddress}"`,
    `form = "log"`,
    ...["writes_per_s = 400", "reads_per_s = 2000", "parts = 12", "append_ms = 2.0"],
    ...["part_mb_s = 20.0", "read_mb_s = 80.0", "record_bytes = 262144"],
    ...["call_bytes = 2097152", "keep_s = 300", "part_mb = 200", "ttl_min_ms = 1000"],
    "",
  ].join("\n");
};
