import type { ModelConfig } from "./config/schema.js";

/** What an engine reports that it serves. */
export interface EngineStatus {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly isLoading: boolean;
}

/** What an engine should serve. */
export interface WantedState {
  readonly engine: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

const isServing = (engine: EngineStatus, wanted: WantedState): boolean =>
  engine.model === wanted.model &&
  engine.version === wanted.version &&
  engine.adapters.join() === wanted.adapters.join();

/**
 * Distributes a pool's engines evenly over its models. An engine keeps the
 * model that it already serves unless that model has its full share.
 */
export const assignEngines = (
  engines: readonly EngineStatus[],
  models: Readonly<Record<string, ModelConfig>>,
): WantedState[] => {
  const names = Object.keys(models).sort();
  if (names.length === 0) {
    return [];
  }
  const maxPerModel = Math.ceil(engines.length / names.length);
  const assigned = new Map<string, string>();
  const counts = new Map(names.map((name) => [name, 0]));
  const assign = (engine: EngineStatus, model: string): void => {
    assigned.set(engine.name, model);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  for (const engine of engines) {
    const count = counts.get(engine.model);
    if (count !== undefined && count < maxPerModel) {
      assign(engine, engine.model);
    }
  }
  for (const engine of engines.filter(({ name }) => !assigned.has(name))) {
    const leastAssigned = [...names].sort((a, b) => (counts.get(a) ?? 0) - (counts.get(b) ?? 0))[0];
    assign(engine, leastAssigned ?? "");
  }
  return engines.flatMap(({ name }) => {
    const model = assigned.get(name) ?? "";
    const cfg = models[model];
    return cfg ? [{ engine: name, model, version: cfg.version, adapters: cfg.adapters }] : [];
  });
};

/**
 * Selects the orders to send now. At most `maxConcurrentLoads` engines load at
 * a time, which is what the weight store can serve, and no model drops below
 * its `minEngines` serving engines.
 */
export const planOrders = (
  engines: readonly EngineStatus[],
  wanted: readonly WantedState[],
  options: {
    readonly maxConcurrentLoads: number;
    readonly minEngines: Readonly<Record<string, number>>;
  },
): WantedState[] => {
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const serving = new Map<string, number>();
  for (const engine of engines.filter(({ isLoading }) => !isLoading)) {
    serving.set(engine.model, (serving.get(engine.model) ?? 0) + 1);
  }
  let freeLoads = options.maxConcurrentLoads - engines.filter(({ isLoading }) => isLoading).length;
  const orders: WantedState[] = [];
  for (const state of sortByFewestServing(wanted, serving)) {
    const engine = byName.get(state.engine);
    if (!engine || engine.isLoading || isServing(engine, state) || freeLoads <= 0) {
      continue;
    }
    const remaining = (serving.get(engine.model) ?? 0) - 1;
    const keepsMinimum = remaining >= (options.minEngines[engine.model] ?? 0);
    if (keepsMinimum) {
      serving.set(engine.model, remaining);
      orders.push(state);
      freeLoads -= 1;
    }
  }
  return orders;
};

/** Sorts the states so that models with the fewest serving engines come first. */
const sortByFewestServing = (
  wanted: readonly WantedState[],
  serving: ReadonlyMap<string, number>,
): WantedState[] =>
  [...wanted].sort((a, b) => (serving.get(a.model) ?? 0) - (serving.get(b.model) ?? 0));

/**
 * Finds models that a class needs and for which a new configuration leaves no
 * engine or, when they move to another pool, fewer than `minEngines`.
 */
export const findUnderprovisionedModels = (
  before: Readonly<Record<string, ModelConfig>>,
  after: Readonly<Record<string, ModelConfig>>,
  classes: Readonly<Record<string, { readonly models: readonly string[] }>>,
  enginesByPool: Readonly<Record<string, number>>,
): string[] => {
  const needed = new Set(Object.values(classes).flatMap(({ models }) => models));
  return Object.entries(after)
    .filter(([name]) => needed.has(name))
    .filter(([name, { pool, minEngines }]) => {
      const modelsInPool = Object.values(after).filter((model) => model.pool === pool).length;
      const engines = Math.floor((enginesByPool[pool] ?? 0) / modelsInPool);
      const changesPool = before[name] !== undefined && before[name].pool !== pool;
      return engines < 1 || (changesPool && engines < minEngines);
    })
    .map(([name]) => name);
};
