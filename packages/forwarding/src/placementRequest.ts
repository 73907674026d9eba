import type { CostBook } from "./costs/CostBook.js";
import { estimateAnswer, estimateStretch } from "./costs/placementCosts.js";
import type { EngineSpec } from "./fleetConfig.js";
import type { PlacementRequest } from "./placement.js";
import type { PlacementQuery } from "./placementQuery.js";
import { DEFAULT_GAP_MS } from "./requestLoad.js";

/** The prompt of a query as placement sees it at the monotonic time `now`. */
export const newPlacementRequest = (
  { req, pool, deadlineAtMs, timeline }: PlacementQuery,
  { engine, now, costs }: { engine: EngineSpec; now: number; costs: CostBook | undefined },
): Omit<PlacementRequest, "shortGapMs" | "value"> => {
  const { tokens, memoryTokens } = estimateAnswer(costs, req, pool);
  return {
    ...{ promptTokens: req.head.promptTokens, outputTokens: tokens, memoryTokens },
    ...(costs && { isLearned: true, stretch: estimateStretch(costs, req, pool) }),
    maxGapMs: req.route.maxGapMs ?? DEFAULT_GAP_MS,
    targetLeftMs: timeline.getTargetLeftMs(now),
    deadlineLeftMs: deadlineAtMs - now - tokens * engine.stepMs,
  };
};
