import { findLowest } from "./baselines.js";
import type { EngineView, PlacementPolicy, PlacementRequest, PoolView } from "./types.js";

const MS_PER_S = 1_000;
/** Estimated delay of a short prompt on an engine with a long prefill. */
const LONG_PREFILL_COST_MS = 400;
/** Estimated delay of a prompt by each other stream on the engine. */
const STREAM_COST_MS = 6;
/** Long prefills that one engine runs at a time. */
const MAX_LONG_PREFILLS_PER_ENGINE = 1;
/** Share of a pool's engines that may run long prefills at a time. */
const MAX_LONG_PREFILL_ENGINE_SHARE = 0.5;
/** A long prompt may use any engine after waiting for this share of its remaining time. */
const URGENT_WAIT_SHARE = 0.5;

/**
 * Chooses the engine with the lowest estimated delay among those with enough KV
 * memory. The estimate counts the prefill backlog, the uncached part of the
 * prompt and the streams on the engine. Long prompts run on a share of the
 * engines and wait rather than share an engine, so that other engines stay free
 * of long prefills for short prompts.
 */
export class LengthAwarePlacement implements PlacementPolicy {
  readonly name = "ours";

  choose(req: PlacementRequest, pool: PoolView): EngineView | undefined {
    const fitting = pool.engines.filter((engine) => hasCapacity(engine, req));
    return req.promptTokens >= pool.longPromptTokens
      ? this.#chooseForLong(req, pool, fitting)
      : findLowest(fitting, (engine) => getShortCostMs(engine, req));
  }

  #chooseForLong(
    req: PlacementRequest,
    pool: PoolView,
    fitting: readonly EngineView[],
  ): EngineView | undefined {
    const longPrefillEngines = pool.engines.filter(({ longPrefills }) => longPrefills > 0).length;
    const limit = Math.max(1, Math.floor(pool.engines.length * MAX_LONG_PREFILL_ENGINE_SHARE));
    const isUrgent = req.waitedMs > req.remainingMs * URGENT_WAIT_SHARE;
    const withoutLongPrefill = fitting.filter(
      ({ longPrefills }) => longPrefills < MAX_LONG_PREFILLS_PER_ENGINE,
    );
    if (longPrefillEngines >= limit && !isUrgent) {
      return undefined;
    }
    const candidates = withoutLongPrefill.length > 0 || !isUrgent ? withoutLongPrefill : fitting;
    return findLowest(candidates, (engine) => getLongCostMs(engine, req));
  }
}

const hasCapacity = (engine: EngineView, req: PlacementRequest): boolean =>
  engine.requests < engine.maxStreams &&
  engine.kvReservedTokens + req.promptTokens + req.outputTokens <= engine.kvTotalTokens;

const toPrefillMs = (engine: EngineView, tokens: number): number =>
  (tokens / engine.prefillTokensPerS) * MS_PER_S;

const getUncachedTokens = (engine: EngineView, req: PlacementRequest): number =>
  Math.max(0, req.promptTokens - (req.cachedTokens[engine.name] ?? 0));

const getShortCostMs = (engine: EngineView, req: PlacementRequest): number => {
  // Engines prefill short prompts first, so of a backlog with a long prompt only these are ahead.
  const backlogTokens =
    engine.longPrefills > 0 ? engine.shortBacklogTokens : engine.prefillBacklogTokens;
  return (
    toPrefillMs(engine, backlogTokens + getUncachedTokens(engine, req)) +
    engine.longPrefills * LONG_PREFILL_COST_MS +
    engine.requests * STREAM_COST_MS
  );
};

const getLongCostMs = (engine: EngineView, req: PlacementRequest): number =>
  toPrefillMs(engine, engine.prefillBacklogTokens + getUncachedTokens(engine, req)) +
  engine.requests * STREAM_COST_MS;
