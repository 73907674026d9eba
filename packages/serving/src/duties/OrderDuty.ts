import {
  assignEngines,
  getMessage,
  planOrders,
  RecordKind,
  type Cancel,
  type Clock,
  type Draft,
  type EngineStatus,
  type ModelConfig,
  type Protections,
  type WantedState,
} from "@lycheepulley/core";
import type { WeightStoreClient } from "@lycheepulley/weights";

import type { ConfigTracker } from "../config/ConfigTracker.js";
import type { Engine, UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import type { LeaseManager } from "./LeaseManager.js";

const CHECK_INTERVAL_MS = 1_000;
/** Interval between two checks of a pool whose engines have the wanted state. */
const RECONCILE_INTERVAL_MS = 30_000;
const DEFAULT_CONCURRENT_LOADS = 1;
const MIXED_ROLE = "mixed";

export interface OrderDutyOptions {
  /** Lease that covers the orders to a pool's engines. */
  readonly getLease: (pool: string) => LeaseManager;
  readonly config: ConfigTracker;
  readonly directory: UpstreamDirectory;
  readonly weights: WeightStoreClient;
  readonly clock: Clock;
  readonly protections: Protections;
  readonly submitAudit: (draft: Draft) => void;
  readonly onError?: (message: string) => void;
}

/** Orders engines to load the models and versions that the configuration wants. */
export class OrderDuty {
  readonly #options: OrderDutyOptions;
  readonly #reconciledMs = new Map<string, number>();
  #cancel: Cancel | undefined;
  #isChecking = false;

  constructor(options: OrderDutyOptions) {
    this.#options = options;
    options.config.subscribe(() => {
      this.#reconciledMs.clear();
    });
    options.directory.subscribe(() => {
      this.#reconciledMs.clear();
    });
    this.#schedule();
  }

  stop(): void {
    this.#cancel?.();
  }

  #schedule(): void {
    this.#cancel = this.#options.clock.setTimer(() => {
      void this.#checkAll();
      this.#schedule();
    }, CHECK_INTERVAL_MS);
  }

  async #checkAll(): Promise<void> {
    const cfg = this.#options.config.current?.config;
    if (!cfg || this.#isChecking) {
      return;
    }
    this.#isChecking = true;
    for (const pool of new Set(Object.values(cfg.models).map((model) => model.pool))) {
      const models = Object.entries(cfg.models).filter(([, model]) => model.pool === pool);
      try {
        await this.#checkPool(pool, Object.fromEntries(models));
      } catch (err) {
        this.#options.onError?.(`failed to reconcile engines of pool ${pool}: ${getMessage(err)}`);
      }
    }
    this.#isChecking = false;
  }

  async #checkPool(pool: string, models: Readonly<Record<string, ModelConfig>>): Promise<void> {
    const { clock, directory, getLease } = this.#options;
    const isReconciled =
      clock.now() - (this.#reconciledMs.get(pool) ?? -Infinity) < RECONCILE_INTERVAL_MS;
    if (isReconciled || getLease(pool).epoch === undefined) {
      return;
    }
    const engines = directory.getEngines(pool);
    const statuses = await Promise.all(engines.map(fetchStatus));
    const known = statuses.filter((status) => status !== undefined);
    const wanted = assignEngines(known, models);
    const dueOrders = planOrders(known, wanted, {
      maxConcurrentLoads: await this.#fetchLoadLimit(wanted),
      minEngines: Object.fromEntries(
        Object.entries(models).map(([name, { minEngines }]) => [name, minEngines]),
      ),
    });
    for (const state of dueOrders) {
      await this.#order(pool, state);
    }
    const hasNothingToDo = dueOrders.length === 0 && known.every(({ isLoading }) => !isLoading);
    if (hasNothingToDo && known.length === engines.length) {
      this.#reconciledMs.set(pool, clock.now());
    }
  }

  async #fetchLoadLimit(wanted: readonly WantedState[]): Promise<number> {
    const [first] = wanted;
    if (!first) {
      return DEFAULT_CONCURRENT_LOADS;
    }
    const info = await this.#options.weights.fetchInfo(first.model, first.version);
    return info.maxConcurrentLoads;
  }

  async #order(pool: string, state: WantedState): Promise<void> {
    const { getLease, directory, submitAudit } = this.#options;
    const engine = directory.getEngine(state.engine);
    // Read right before the order is sent: after a pause another process may hold the lease.
    const fence = getLease(pool).epoch;
    if (!engine || fence === undefined) {
      return;
    }
    const { model, version, adapters } = state;
    let outcome: string;
    try {
      const order = { fence, model, version, adapters, role: MIXED_ROLE };
      const result = await engine.client.order(order);
      outcome = result.accepted ? "accepted" : `refused, engine has seen ${String(result.fence)}`;
    } catch (err) {
      outcome = `unknown: ${getMessage(err)}`;
    }
    submitAudit({
      kind: RecordKind.Note,
      key: `order/${state.engine}`,
      follows: null,
      body: { action: "order", engine: state.engine, model, version, fence, outcome },
    });
  }
}

const fetchStatus = async ({ client }: Engine): Promise<EngineStatus | undefined> => {
  try {
    const { model, version, adapters, loading } = await client.fetchState();
    return { name: client.name, model, version, adapters, isLoading: loading };
  } catch {
    return undefined;
  }
};
