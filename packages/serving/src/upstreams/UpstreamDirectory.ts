import { isNewerVmList, VmRole, VmState, type Vm, type VmList } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";
import type { ServiceClient } from "@lycheepulley/services";
import { Publisher } from "@lycheepulley/streams";

/** An engine of the VM list, with its client. */
export interface Engine {
  readonly vm: Vm;
  readonly client: EngineClient;
}

/** An instance of a plain service, with its client. */
export interface ServiceInstance {
  readonly vm: Vm;
  readonly client: ServiceClient;
}

export interface UpstreamDirectoryOptions {
  readonly newEngineClient: (vm: Vm) => EngineClient;
  readonly newServiceClient: (vm: Vm) => ServiceClient;
}

/** Upstreams of the platform's VM list, with a client for each. */
export class UpstreamDirectory {
  readonly #options: UpstreamDirectoryOptions;
  readonly #engines = new Map<string, Engine>();
  readonly #services = new Map<string, ServiceInstance>();
  readonly #changes = new Publisher<VmList>();
  #list: VmList | undefined;
  #evacuated: ReadonlySet<string> = new Set();

  constructor(options: UpstreamDirectoryOptions) {
    this.#options = options;
  }

  get version(): number {
    return this.#list?.version ?? -1;
  }

  /** Calls `fn` after each change of the list, or of the evacuated failure domains. */
  subscribe(fn: (list: VmList) => void): () => void {
    return this.#changes.subscribe(fn);
  }

  /** Applies an answer of the VM list, unless its version is not newer. */
  applyList(list: VmList): void {
    if (this.#list && !isNewerVmList(list, this.#list)) {
      return;
    }
    this.#list = list;
    this.#applyKind(this.#engines, list, VmRole.Engine, this.#options.newEngineClient);
    this.#applyKind(this.#services, list, VmRole.Service, this.#options.newServiceClient);
    this.#changes.publish(list);
  }

  /** Sets the failure domains to which nothing new is sent. */
  setEvacuated(domains: readonly string[]): void {
    this.#evacuated = new Set(domains);
    if (this.#list) {
      this.#changes.publish(this.#list);
    }
  }

  isEvacuated(failureDomain: string): boolean {
    return this.#evacuated.has(failureDomain);
  }

  getEngine(name: string): Engine | undefined {
    return this.#engines.get(name);
  }

  getEngines(pool: string): Engine[] {
    return [...this.#engines.values()].filter((engine) => engine.vm.pool === pool);
  }

  getEnginePools(): string[] {
    return [...new Set([...this.#engines.values()].map((engine) => engine.vm.pool))];
  }

  /** Instances of a plain service that take new requests. */
  getServices(pool: string): ServiceInstance[] {
    return [...this.#services.values()].filter(
      ({ vm }) =>
        vm.pool === pool && vm.state === VmState.Live && !this.isEvacuated(vm.failureDomain),
    );
  }

  async close(): Promise<void> {
    const clients = [...this.#engines.values(), ...this.#services.values()];
    await Promise.all(clients.map(({ client }) => client.close()));
  }

  #applyKind<C extends { close(): Promise<void> }>(
    known: Map<string, { readonly vm: Vm; readonly client: C }>,
    list: VmList,
    role: Vm["role"],
    newClient: (vm: Vm) => C,
  ): void {
    const listed = list.vms.filter((vm) => vm.role === role);
    const ids = new Set(listed.map((vm) => vm.id));
    for (const [id, { client }] of known) {
      if (!ids.has(id)) {
        known.delete(id);
        void client.close();
      }
    }
    for (const vm of listed) {
      const client = known.get(vm.id)?.client ?? newClient(vm);
      known.set(vm.id, { vm, client });
    }
  }
}
