import type { Clock } from "@lycheepulley/core";

import { getPassMs } from "../engineModel.js";
import type { EngineSpec } from "../fleetConfig.js";
import {
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
/** An answer that is longer than expected goes on for this share of its time so far. */
const OVERRUN_SHARE = 0.25;

type Loads = ReadonlyMap<string, UpstreamLoad>;

/** Time that an upstream takes to decode an answer at its present load, milliseconds. */
export const getAnswerMs = (
  engine: EngineSpec,
  outputTokens: number,
  { decoding, contextTokens }: Pick<UpstreamLoad, "decoding" | "contextTokens">,
): number =>
  Math.ceil(outputTokens / engine.stepsPerPass) *
  getPassMs(engine, Math.max(1, decoding), contextTokens);

/** Expected time until a request's answer ends, milliseconds. */
const getEndInMs = (
  engine: EngineSpec,
  item: TimedLoadItem,
  { loads, nowMs }: { loads: Loads; nowMs: number },
): number => {
  const load = loads.get(item.upstream) ?? newUpstreamLoad();
  const answerMs = getAnswerMs(engine, item.outputTokens ?? USUAL_OUTPUT_TOKENS, load);
  if (item.phase === LoadPhase.Writing) {
    const elapsedMs = nowMs - item.sinceMs;
    // Prompts are prefilled inside the passes that decode answers.
    return Math.max(answerMs - elapsedMs, OVERRUN_SHARE * elapsedMs) + load.pendingReadMs;
  }
  const readMs = item.helpers.reduce(
    (ms, id) => Math.max(ms, loads.get(id)?.pendingHelpMs ?? 0),
    load.pendingReadMs,
  );
  return readMs + answerMs;
};

/** When KV memory becomes free at each upstream, as far as the in-flight requests are known. */
export const forecastReleases = (
  engine: EngineSpec,
  items: readonly TimedLoadItem[],
  options: { loads: Loads; nowMs: number },
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
  #engine: EngineSpec | undefined;
  #releases: ReadonlyMap<string, readonly Release[]> = new Map();
  #untilMs = -Infinity;

  constructor(options: { clock: Clock; loadTracker: LoadTracker }) {
    this.#clock = options.clock;
    this.#loadTracker = options.loadTracker;
  }

  /** Releases by upstream. */
  get(engine: EngineSpec): ReadonlyMap<string, readonly Release[]> {
    const nowMs = this.#clock.now();
    if (this.#engine !== engine || nowMs >= this.#untilMs) {
      const { items } = this.#loadTracker;
      this.#releases = forecastReleases(engine, items, { loads: sumLoads(items, nowMs), nowMs });
      this.#engine = engine;
      this.#untilMs = nowMs + FORECAST_MS;
    }
    return this.#releases;
  }
}
