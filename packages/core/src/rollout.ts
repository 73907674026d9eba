import type { ModelConfig } from "./config/schema.js";

/** What an engine of a pool serves, as it reports. */
export interface EngineStatus {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly isLoading: boolean;
}

/** State that an engine should have. */
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

/** Spreads a pool's engines over its models, keeping those that already serve one. */
export const assignEngines = (
  engines: readonly EngineStatus[],
  models: Readonly<Record<string, ModelConfig>>,
): WantedState[] => {
  const names = Object.keys(models).sort();
  if (names.length === 0) {
    return [];
  }
  const share = Math.ceil(engines.length / names.length);
  const assigned = new Map<string, string>();
  const counts = new Map(names.map((name) => [name, 0]));
  const assign = (engine: EngineStatus, model: string): void => {
    assigned.set(engine.name, model);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  for (const engine of engines) {
    const count = counts.get(engine.model);
    if (count !== undefined && count < share) {
      assign(engine, engine.model);
    }
  }
  for (const engine of engines.filter(({ name }) => !assigned.has(name))) {
    const fewest = [...names].sort((a, b) => (counts.get(a) ?? 0) - (counts.get(b) ?? 0))[0];
    assign(engine, fewest ?? "");
  }
  return engines.flatMap(({ name }) => {
    const model = assigned.get(name) ?? "";
    const cfg = models[model];
    return cfg ? [{ engine: name, model, version: cfg.version, adapters: cfg.adapters }] : [];
  });
};

/**
 * Engines to order now: at most as many load at once as the weight store
 * serves, and no model falls below its least number of serving engines.
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
  let free = options.maxConcurrentLoads - engines.filter(({ isLoading }) => isLoading).length;
  const due: WantedState[] = [];
  for (const state of orderByNeed(wanted, serving)) {
    const engine = byName.get(state.engine);
    if (!engine || engine.isLoading || isServing(engine, state) || free <= 0) {
      continue;
    }
    const left = (serving.get(engine.model) ?? 0) - 1;
    const isSpared = left >= (options.minEngines[engine.model] ?? 0);
    if (isSpared) {
      serving.set(engine.model, left);
      due.push(state);
      free -= 1;
    }
  }
  return due;
};

/** Models with the fewest serving engines come first. */
const orderByNeed = (
  wanted: readonly WantedState[],
  serving: ReadonlyMap<string, number>,
): WantedState[] =>
  [...wanted].sort((a, b) => (serving.get(a.model) ?? 0) - (serving.get(b.model) ?? 0));

/** Models that a class needs and that a new configuration would leave without an engine. */
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
      const isMoved = before[name] !== undefined && before[name].pool !== pool;
      return engines < 1 || (isMoved && engines < minEngines);
    })
    .map(([name]) => name);
};
