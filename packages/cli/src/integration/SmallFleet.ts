import { readFile } from "node:fs/promises";
import { createServer, type AddressInfo } from "node:net";
import { join } from "node:path";

import { VmRole, VmState, type Vm } from "@lycheepulley/core";
import { EntryNode, settingsSchema } from "@lycheepulley/daemon";
import { OperatorSession } from "@lycheepulley/operators";
import { StandinHost, standinSettingsSchema } from "@lycheepulley/standins";

import { EXAMPLES_FOLDER } from "../paths.js";

const HOST = "127.0.0.1";
const TIME_SCALE = 50;
const POLL_INTERVAL_MS = 10;

/** Entry processes and stand-ins inside the test process, connected by real sockets. */
export class SmallFleet {
  readonly #nodes: EntryNode[] = [];
  #standins: StandinHost | undefined;
  /** Origin of the platform's stand-in; empty before the start. */
  platformOrigin = "";

  /** Caller origins of the entry processes. */
  readonly origins: string[] = [];
  /** Control origins of the entry processes. */
  readonly controls: string[] = [];

  /** Starts the stand-ins and entry processes; resolves once each process lists all of them. */
  async start(
    entryProcessCount: number,
    limits: Readonly<Record<string, number>> = {},
  ): Promise<void> {
    const standins = new StandinHost(
      standinSettingsSchema.parse({
        host: HOST,
        timeScale: TIME_SCALE,
        platform: { vmListLagMs: 0, logDelayMs: 0 },
        engines: ["a", "b"].map((id) => ({
          id: `traductor-${id}`,
          pool: "traductor",
          model: "traductor",
          version: "2026-11",
          failureDomain: "poblado",
        })),
        services: [{ id: "taller-a", pool: "taller", failureDomain: "poblado", delayMs: 0 }],
      }),
    );
    this.#standins = standins;
    const { platformPort } = await standins.start();
    this.platformOrigin = `http://${HOST}:${String(platformPort)}`;
    await this.publishExample(limits);
    for (let i = 0; i < entryProcessCount; i += 1) {
      await this.#startNode(i);
    }
    await this.#waitUntilAllListed();
  }

  /** Stops the entry processes, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.#nodes.map((node) => node.stop()));
    await this.#standins?.stop();
  }

  /** Drains an entry process, and stops it as its program does. */
  async drain(index: number): Promise<void> {
    const node = this.#nodes[index];
    await node?.drain("test");
    await node?.stop();
  }

  /** Changes the VM list of the platform. */
  async putVms(vms: readonly Vm[], remove: readonly string[] = []): Promise<void> {
    await fetch(`${this.platformOrigin}/standin/vms`, {
      method: "POST",
      body: JSON.stringify({ put: vms, remove }),
    });
  }

  /** Has the log answer this much later. */
  async delayLog(delayMs: number): Promise<void> {
    await fetch(`${this.platformOrigin}/standin/log/faults`, {
      method: "POST",
      body: JSON.stringify({ delayMs }),
    });
  }

  /** Publishes the base configuration of the example deployment, with these limits besides. */
  async publishExample(limits: Readonly<Record<string, number>> = {}): Promise<void> {
    const session = new OperatorSession({ logOrigin: this.platformOrigin, operator: "test" });
    await session.open();
    const text = await readFile(join(EXAMPLES_FOLDER, "medellin", "base.json"), "utf8");
    const base = JSON.parse(text) as { limits: object };
    Object.assign(base.limits, limits);
    await session.config.publish({
      bundle: { base: { ...base }, overlays: {} },
      follows: session.config.current?.version ?? 0,
      changeId: "initial",
      by: "test",
      note: "",
    });
    await session.close();
  }

  async #startNode(i: number): Promise<void> {
    const name = `poblado-${String(i + 1)}`;
    const [callerPort, controlPort] = [await findFreePort(), await findFreePort()];
    const node = new EntryNode(
      settingsSchema.parse({
        ...{ name, site: "poblado", failureDomain: "poblado", host: HOST },
        ...{ callerPort, controlPort, logLevel: "error" },
        platform: {
          log: this.platformOrigin,
          vmList: this.platformOrigin,
          weightStore: this.platformOrigin,
        },
      }),
    );
    await node.start();
    this.#nodes.push(node);
    this.origins.push(`http://${HOST}:${String(callerPort)}`);
    this.controls.push(`http://${HOST}:${String(controlPort)}`);
    const vm: Vm = {
      ...{ id: name, role: VmRole.Entry, pool: "entry", host: HOST, port: callerPort },
      ...{ controlPort, failureDomain: "poblado", state: VmState.Live },
    };
    await this.putVms([vm]);
  }

  /** Waits until every process lists all processes as addresses for callers. */
  async #waitUntilAllListed(): Promise<void> {
    for (const origin of this.origins) {
      let addressCount = 0;
      while (addressCount < this.origins.length) {
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
        const res = await fetch(`${origin}/v1/address`);
        addressCount = ((await res.json()) as { addresses: unknown[] }).addresses.length;
      }
    }
  }
}

/** Lets the system choose a free port. */
const findFreePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });
