import { mkdir, writeFile } from "node:fs/promises";
import { createServer, type AddressInfo } from "node:net";
import { join } from "node:path";

import { VmRole, VmState, type ConfigBundle, type Vm } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";
import { NodeClient, statusMethod, type NodeStatus } from "@lycheepulley/nodes";
import { OperatorSession } from "@lycheepulley/operators";
import type { Settings } from "@lycheepulley/daemon";
import type {
  EngineFault,
  LogFault,
  ServiceFault,
  StandinAddresses,
  StandinSettings,
} from "@lycheepulley/standins";
import { z } from "zod";

import { ChildProcess } from "./ChildProcess.js";
import type { LoadedDeployment } from "./deployment.js";

const HOST = "127.0.0.1";
const POLL_MS = 50;
const SERVING_TIMEOUT_MS = 20_000;

/** One entry process of the fleet. */
export interface EntryHandle {
  readonly vm: Vm;
  readonly process: ChildProcess;
}

export interface LocalFleetOptions {
  readonly loaded: LoadedDeployment;
  /** Path of the command line's script. */
  readonly entryPoint: string;
  /** Folder for the processes' settings and output. */
  readonly folder: string;
  /** Model time over real time of the stand-ins. */
  readonly timeScale?: number;
  readonly entryProcesses?: number;
  readonly modelWorkers?: number;
  readonly settings?: Partial<Settings>;
  readonly standins?: Partial<StandinSettings["platform"]>;
  /** Text in a prompt that crashes an engine stand-in. */
  readonly crashOn?: string;
  readonly logLevel?: Settings["logLevel"];
}

/** Runs the entry processes and stand-ins of one deployment on the loopback interface. */
export class LocalFleet {
  readonly #options: LocalFleetOptions;
  readonly #entries = new Map<string, EntryHandle>();
  #standins: ChildProcess | undefined;
  #addresses: StandinAddresses = { platformPort: 0, vms: [] };
  #nextEntry = 1;

  constructor(options: LocalFleetOptions) {
    this.#options = options;
  }

  get platformOrigin(): string {
    return `http://${HOST}:${String(this.#addresses.platformPort)}`;
  }

  get entries(): readonly EntryHandle[] {
    return [...this.#entries.values()];
  }

  get engineVms(): readonly Vm[] {
    return this.#addresses.vms.filter((vm) => vm.role === VmRole.Engine);
  }

  get serviceVms(): readonly Vm[] {
    return this.#addresses.vms.filter((vm) => vm.role === VmRole.Service);
  }

  /**
   * Starts stand-ins and entry processes, publishes the configuration and waits until all serve.
   */
  async start(): Promise<void> {
    const { loaded, folder, entryProcesses } = this.#options;
    await mkdir(folder, { recursive: true });
    await this.#startStandins();
    await this.publishConfig(loaded.bundle, "initial configuration");
    const count = entryProcesses ?? loaded.deployment.entryProcesses;
    const domains = loaded.deployment.failureDomains;
    await Promise.all(
      Array.from({ length: count }, (_, i) => this.startEntry(domains[i % domains.length] ?? "")),
    );
    await this.waitUntilServing();
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map(({ process }) => process.stop("SIGKILL")));
    await this.#standins?.stop("SIGKILL");
  }

  /** Starts an entry process and adds its VM to the VM list. */
  async startEntry(failureDomain: string): Promise<EntryHandle> {
    const name = `${failureDomain}-${String(this.#nextEntry)}`;
    this.#nextEntry += 1;
    const [callerPort = 0, controlPort = 0] = await findFreePorts(2);
    const settings = {
      name,
      site: failureDomain,
      failureDomain,
      host: HOST,
      callerPort,
      controlPort,
      platform: {
        log: this.platformOrigin,
        vmList: this.platformOrigin,
        weightStore: this.platformOrigin,
      },
      logLevel: this.#options.logLevel ?? "warn",
      ...this.#options.settings,
    };
    const file = join(this.#options.folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settings, undefined, 2));
    const process = new ChildProcess({
      entryPoint: this.#options.entryPoint,
      args: ["entry", "--settings", file],
      outputFile: join(this.#options.folder, `${name}.log`),
    });
    await process.waitUntilReady();
    const vm: Vm = {
      id: name,
      role: VmRole.Entry,
      pool: "entry",
      host: HOST,
      port: callerPort,
      controlPort,
      failureDomain,
      state: VmState.Live,
    };
    const handle = { vm, process };
    this.#entries.set(name, handle);
    await this.changeVms({ put: [vm] });
    return handle;
  }

  /** Kills an entry process and removes its VM from the VM list. */
  async killEntry(name: string): Promise<void> {
    const entry = this.#entries.get(name);
    this.#entries.delete(name);
    await entry?.process.stop("SIGKILL");
    await this.changeVms({ remove: [name] });
  }

  /** Drains an entry process; returns its exit code. */
  async drainEntry(name: string): Promise<number | null> {
    const entry = this.#entries.get(name);
    if (!entry) {
      return null;
    }
    const code = await entry.process.stop("SIGTERM");
    this.#entries.delete(name);
    await this.changeVms({ remove: [name] });
    return code;
  }

  /** Publishes a configuration; returns its revision. */
  async publishConfig(bundle: ConfigBundle, note: string): Promise<number> {
    const session = new OperatorSession({ logOrigin: this.platformOrigin, operator: "tools" });
    await session.open();
    try {
      const result = await session.config.publish({
        bundle,
        follows: session.config.current?.version ?? 0,
        changeId: `${note}-${String(Date.now())}`,
        by: "tools",
        note,
      });
      return result.revision;
    } finally {
      await session.close();
    }
  }

  changeVms(command: { put?: readonly Vm[]; remove?: readonly string[] }): Promise<unknown> {
    return this.#post(this.platformOrigin, "/standin/vms", command);
  }

  injectLogFault(fault: LogFault): Promise<unknown> {
    return this.#post(this.platformOrigin, "/standin/log/faults", fault);
  }

  injectUpstreamFault(vm: Vm, fault: EngineFault | ServiceFault): Promise<unknown> {
    return this.#post(getOrigin(vm), "/standin/faults", fault);
  }

  /** Fetches JSON from a stand-in or an entry process. */
  async fetch(origin: string, path: string): Promise<unknown> {
    const peer = new HttpPeer({ name: origin, kind: "tool", origin });
    try {
      return await peer.callJson(path, z.unknown());
    } finally {
      await peer.close();
    }
  }

  /** Fetches the status of every entry process. */
  fetchStatuses(): Promise<NodeStatus[]> {
    return Promise.all(
      this.entries.map(async ({ vm }) => {
        const origin = `http://${vm.host}:${String(vm.controlPort ?? 0)}`;
        const client = new NodeClient({ name: vm.id, origin });
        try {
          return await client.call(statusMethod, {});
        } finally {
          await client.close();
        }
      }),
    );
  }

  /**
   * Waits until every entry process has a model and returns the addresses of all entry processes.
   */
  async waitUntilServing(): Promise<void> {
    const giveUpMs = Date.now() + SERVING_TIMEOUT_MS;
    for (;;) {
      const counts = await Promise.all(this.entries.map(({ vm }) => this.#countAddresses(vm)));
      if (counts.every((count) => count === this.entries.length)) {
        return;
      }
      if (Date.now() > giveUpMs) {
        throw new Error(`entry processes return ${counts.join(", ")} addresses instead of all`);
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  async #countAddresses(vm: Vm): Promise<number> {
    try {
      const answer = addressesSchema.parse(await this.fetch(getOrigin(vm), "/v1/address"));
      const models = modelsSchema.parse(await this.fetch(getOrigin(vm), "/v1/models"));
      return models.data.length > 0 ? answer.addresses.length : 0;
    } catch {
      return 0;
    }
  }

  async #startStandins(): Promise<void> {
    const file = join(this.#options.folder, "standins.json");
    await writeFile(file, JSON.stringify(this.#newStandinSettings(), undefined, 2));
    this.#standins = new ChildProcess({
      entryPoint: this.#options.entryPoint,
      args: ["standin", "--settings", file],
      outputFile: join(this.#options.folder, "standins.log"),
    });
    this.#addresses = JSON.parse(await this.#standins.waitUntilReady()) as StandinAddresses;
  }

  #newStandinSettings(): unknown {
    const { loaded, timeScale = 1, standins, crashOn } = this.#options;
    const { deployment, config } = loaded;
    const domains = deployment.failureDomains;
    const model = config.models[deployment.model];
    const workers = this.#options.modelWorkers ?? deployment.modelWorkers;
    return {
      host: HOST,
      timeScale,
      platform: standins ?? {},
      engines: Array.from({ length: workers }, (_, i) => ({
        id: `${deployment.model}-${String(i + 1)}`,
        pool: model?.pool ?? deployment.model,
        model: deployment.model,
        version: model?.version ?? "1",
        failureDomain: domains[i % domains.length],
        isFencing: model?.fencing === "enforced",
        rates: {
          kvTokens: model?.engineKvTokens,
          maxStreams: model?.maxStreamsPerEngine,
          prefillTokensPerS: model?.prefillTokensPerS,
        },
        ...(crashOn === undefined ? {} : { crashOn }),
      })),
      services: Array.from({ length: deployment.serviceWorkers }, (_, i) => ({
        id: `${deployment.service}-${String(i + 1)}`,
        pool: deployment.service,
        failureDomain: domains[i % domains.length],
      })),
    };
  }

  async #post(origin: string, path: string, body: unknown): Promise<unknown> {
    const peer = new HttpPeer({ name: origin, kind: "tool", origin });
    try {
      return await peer.postJson(path, body, z.unknown());
    } finally {
      await peer.close();
    }
  }
}

const addressesSchema = z.object({ addresses: z.array(z.unknown()) });
const modelsSchema = z.object({ data: z.array(z.unknown()) });

/** HTTP origin of a VM. */
export const getOrigin = (vm: Pick<Vm, "host" | "port">): string =>
  `http://${vm.host}:${String(vm.port)}`;

const listenOnFreePort = (): Promise<ReturnType<typeof createServer>> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, HOST, () => {
      resolve(server);
    });
  });

/** Finds free ports; another process may take one before it is used. */
const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};
