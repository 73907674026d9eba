import { SystemClock, VmRole, VmState, type Vm } from "@lycheepulley/core";
import { z } from "zod";

import { EngineStandin } from "./engine/EngineStandin.js";
import { engineRatesSchema } from "./engine/rates.js";
import { PlatformStandin } from "./platform/PlatformStandin.js";
import { ServiceStandin } from "./ServiceStandin.js";

const port = z.number().int().min(0).max(65_535);

/** Settings of a process that runs stand-ins. */
export const standinSettingsSchema = z.strictObject({
  host: z.string().default("127.0.0.1"),
  /** Simulated time runs this many times faster than real time. */
  timeScale: z.number().positive().default(1),
  platform: z
    .strictObject({
      port: port.default(0),
      appendsPerS: z.number().positive().default(300),
      logDelayMs: z.number().nonnegative().default(10),
      retentionMs: z.number().positive().default(86_400_000),
      vmListLagMs: z.number().nonnegative().default(1_000),
    })
    .prefault({}),
  engines: z
    .array(
      z.strictObject({
        id: z.string(),
        pool: z.string(),
        model: z.string(),
        version: z.string(),
        failureDomain: z.string(),
        port: port.default(0),
        isFencing: z.boolean().default(true),
        delayMs: z.number().nonnegative().default(0),
        rates: engineRatesSchema.prefault({}),
        crashOn: z.string().optional(),
      }),
    )
    .default([]),
  services: z
    .array(
      z.strictObject({
        id: z.string(),
        pool: z.string(),
        failureDomain: z.string(),
        port: port.default(0),
        delayMs: z.number().nonnegative().default(5),
      }),
    )
    .default([]),
});
export type StandinSettings = z.infer<typeof standinSettingsSchema>;

/** Addresses of the running stand-ins. */
export interface StandinAddresses {
  readonly platformPort: number;
  readonly vms: readonly Vm[];
}

/** Runs stand-ins of the platform, engines and services in one process and lists them as VMs. */
export class StandinHost {
  readonly #settings: StandinSettings;
  readonly #platform: PlatformStandin;
  readonly #engines: readonly EngineStandin[];
  readonly #services: readonly ServiceStandin[];

  constructor(settings: StandinSettings) {
    const clock = new SystemClock();
    const { host, timeScale } = settings;
    this.#settings = settings;
    this.#platform = new PlatformStandin({ host, clock, ...settings.platform });
    this.#engines = settings.engines.map(
      ({ id, ...engine }) => new EngineStandin({ ...engine, name: id, host, clock, timeScale }),
    );
    this.#services = settings.services.map(
      ({ id, port: servicePort, delayMs }) =>
        new ServiceStandin({ name: id, host, port: servicePort, clock, delayMs }),
    );
  }

  /** Starts all stand-ins, then puts the engines and services on the VM list. */
  async start(): Promise<StandinAddresses> {
    await this.#platform.listen();
    await Promise.all([...this.#engines, ...this.#services].map((standin) => standin.listen()));
    const vms = [...this.#newEngineVms(), ...this.#newServiceVms()];
    this.#platform.vmList.put(vms);
    return { platformPort: this.#platform.port, vms };
  }

  async stop(): Promise<void> {
    const standins = [...this.#engines, ...this.#services, this.#platform];
    await Promise.all(standins.map((standin) => standin.close()));
  }

  #newEngineVms(): Vm[] {
    return this.#settings.engines.map(({ id, pool, failureDomain }, i) =>
      this.#newVm(VmRole.Engine, { id, pool, failureDomain, port: this.#engines[i]?.port ?? 0 }),
    );
  }

  #newServiceVms(): Vm[] {
    return this.#settings.services.map(({ id, pool, failureDomain }, i) =>
      this.#newVm(VmRole.Service, { id, pool, failureDomain, port: this.#services[i]?.port ?? 0 }),
    );
  }

  #newVm(role: Vm["role"], vm: Pick<Vm, "id" | "pool" | "failureDomain" | "port">): Vm {
    return { ...vm, role, host: this.#settings.host, state: VmState.Live };
  }
}
