import type { Clock } from "@lycheepulley/core";

import type { CostBook } from "../costs/CostBook.js";
import { applyPace } from "../costs/placementCosts.js";
import { getPassMs } from "../engineModel.js";
import type { EngineSpec } from "../fleetConfig.js";
import {
  estimateRemaining,
  LoadPhase,
  newUpstreamLoad,
  sumLoads,
  type TimedLoadItem,
  type UpstreamLoad,
} from "../load.js";
import type { LoadTracker } from "../LoadTracker.js";
import type { Release } from "./memory.js";

/** Time for which a forecast is used. */
const FORECAST_MS = 10;
/** Length of an answer whose process, of an older build, doesn't report it. */
const USUAL_OUTPUT_TOKENS = 1_000;

type Loads = ReadonlyMap<string, UpstreamLoad>;

/** Time that an upstream takes to decode an answer at its present load, milliseconds. */
export const getAnswerMs = (
  engine: EngineSpec,
  outputTokens: number,
  { decoding, contextTokens }: Pick<UpstreamLoad, "decoding" | "contextTokens">,
): number =>
  Math.ceil(outputTokens / engine.stepsPerPass) *
  getPassMs(engine, Math.max(1, decoding), contextTokens);

interface Forecast {
  readonly loads: Loads;
  readonly nowMs: number;
  /** Undefined where placement goes by published constants alone. */
  readonly costs?: CostBook | undefined;
}

/** Expected time until a request's answer ends, as placement expects it, milliseconds. */
const getEndInMs = (
  engine: EngineSpec,
  item: TimedLoadItem,
  { loads, nowMs, costs }: Forecast,
): number => {
  const getPaced = (id: string): { readonly load: UpstreamLoad; readonly pace?: number } =>
    applyPace(costs, { id, slots: engine.slots }, loads.get(id) ?? newUpstreamLoad());
  const { load, pace = 1 } = getPaced(item.upstream);
  const writeMs =
    item.writeMs ?? pace * getAnswerMs(engine, item.outputTokens ?? USUAL_OUTPUT_TOKENS, load);
  const left = estimateRemaining({ ...item, writeMs }, nowMs);
  // Prompts are prefilled before one that is read, and inside the passes that decode answers.
  const helpers = item.phase === LoadPhase.Writing ? [] : item.helpers;
  const readMs = helpers.reduce(
    (ms, id) => Math.max(ms, getPaced(id).load.pendingHelpMs),
    load.pendingReadMs,
  );
  return readMs + (left.writeMs ?? writeMs);
};

/** When KV memory becomes free at each upstream, as far as the in-flight requests are known. */
export const forecastReleases = (
  engine: EngineSpec,
  items: readonly TimedLoadItem[],
  options: Forecast,
): ReadonlyMap<string, readonly Release[]> => {
  const releases = new Map<string, Release[]>();
  const add = (id: string, release: Release): void => {
    const known = releases.get(id);
    if (known) {
      known.push(release);
    } else {
      releases.set(id, [release]);
    }
  };
  for (const item of items) {
    if (item.promise) {
      continue;
    }
    const inMs = getEndInMs(engine, item, options);
    add(item.upstream, { inMs, tokens: item.kvTokens });
    item.helpers.forEach((id, index) => {
      const tokens = item.heldTokens[index] ?? 0;
      if (tokens > 0) {
        add(id, { inMs, tokens });
      }
    });
  }
  return releases;
};

/**
 * The same for an upstream of which only the sums are known: its answers end one after the other, and
 * the memory of all becomes free in equal parts.
 */
export const estimateReleases = (engine: EngineSpec, load: UpstreamLoad): readonly Release[] => {
  const parts = Math.max(1, load.inFlight + load.helping);
  const lastMs = load.pendingReadMs + getAnswerMs(engine, USUAL_OUTPUT_TOKENS, load);
  return Array.from({ length: load.kvTokens > 0 ? parts : 0 }, (_, index) => ({
    inMs: (lastMs * (index + 1)) / parts,
    tokens: load.kvTokens / parts,
  }));
};

/** Forecasts when memory becomes free; one forecast serves the looks of some milliseconds. */
export class ReleaseForecast {
  readonly #clock: Clock;
  readonly #loadTracker: LoadTracker;
  readonly #costs: CostBook | undefined;
  #engine: EngineSpec | undefined;
  #releases: ReadonlyMap<string, readonly Release[]> = new Map();
  #untilMs = -Infinity;

  constructor(options: { clock: Clock; loadTracker: LoadTracker; costs?: CostBook | undefined }) {
    this.#clock = options.clock;
    this.#loadTracker = options.loadTracker;
    this.#costs = options.costs;
  }

  /** Releases by upstream. */
  get(engine: EngineSpec): ReadonlyMap<string, readonly Release[]> {
    const nowMs = this.#clock.now();
    if (this.#engine !== engine || nowMs >= this.#untilMs) {
      const { items } = this.#loadTracker;
      const loads = sumLoads(items, nowMs);
      this.#releases = forecastReleases(engine, items, { loads, nowMs, costs: this.#costs });
      this.#engine = engine;
      this.#untilMs = nowMs + FORECAST_MS;
    }
    return this.#releases;
  }
}
