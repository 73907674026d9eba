import { findLowest } from "./baselines.js";
import type { EngineView, PlacementPolicy, PlacementRequest, PoolView } from "./types.js";

const MS_PER_S = 1_000;
/** Cost to a short prompt of an engine that computes a long one, milliseconds. */
const LONG_PREFILL_COST_MS = 400;
/** Cost of each stream that decodes beside a prompt, milliseconds. */
const STREAM_COST_MS = 6;
/** Long prompts that one engine computes at a time. */
const MAX_LONG_PREFILLS = 1;
/** Share of the engines that may compute long prompts at a time. */
const MAX_LONG_SHARE = 0.5;
/** A long prompt that has waited this share of its time may take any engine. */
const URGENT_SHARE = 0.5;

/**
 * Weighs the prefill ahead of a prompt, what each engine has cached, and KV
 * memory; keeps engines free of long prefills for short prompts, and lets
 * long ones wait rather than share an engine.
 */
export class LengthAwarePlacement implements PlacementPolicy {
  readonly name = "ours";

  choose(req: PlacementRequest, pool: PoolView): EngineView | undefined {
    const fitting = pool.engines.filter((engine) => hasRoom(engine, req));
    return req.promptTokens >= pool.longPromptTokens
      ? this.#chooseForLong(req, pool, fitting)
      : findLowest(fitting, (engine) => getShortCostMs(engine, req));
  }

  #chooseForLong(
    req: PlacementRequest,
    pool: PoolView,
    fitting: readonly EngineView[],
  ): EngineView | undefined {
    const computing = pool.engines.filter(({ longPrefills }) => longPrefills > 0).length;
    const limit = Math.max(1, Math.floor(pool.engines.length * MAX_LONG_SHARE));
    const isUrgent = req.waitedMs > req.remainingMs * URGENT_SHARE;
    const free = fitting.filter(({ longPrefills }) => longPrefills < MAX_LONG_PREFILLS);
    if (computing >= limit && !isUrgent) {
      return undefined;
    }
    const candidates = free.length > 0 || !isUrgent ? free : fitting;
    return findLowest(candidates, (engine) => getLongCostMs(engine, req));
  }
}

const hasRoom = (engine: EngineView, req: PlacementRequest): boolean =>
  engine.requests < engine.maxStreams &&
  engine.kvReservedTokens + req.promptTokens + req.outputTokens <= engine.kvTotalTokens;

const toPrefillMs = (engine: EngineView, tokens: number): number =>
  (tokens / engine.prefillTokensPerS) * MS_PER_S;

const getOwnTokens = (engine: EngineView, req: PlacementRequest): number =>
  Math.max(0, req.promptTokens - (req.cachedTokens[engine.name] ?? 0));

const getShortCostMs = (engine: EngineView, req: PlacementRequest): number => {
  // Engines compute short prompts first, so only short backlog is ahead.
  const ahead = engine.longPrefills > 0 ? 0 : engine.prefillBacklogTokens;
  return (
    toPrefillMs(engine, ahead + getOwnTokens(engine, req)) +
    engine.longPrefills * LONG_PREFILL_COST_MS +
    engine.requests * STREAM_COST_MS
  );
};

const getLongCostMs = (engine: EngineView, req: PlacementRequest): number =>
  toPrefillMs(engine, engine.prefillBacklogTokens + getOwnTokens(engine, req)) +
  engine.requests * STREAM_COST_MS;
