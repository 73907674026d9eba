import type { CostBook } from "./costs/CostBook.js";
import { estimateAnswer, estimateStretch } from "./costs/placementCosts.js";
import type { EngineSpec } from "./fleetConfig.js";
import { estimateValue } from "./lateness.js";
import type { PlacementRequest } from "./placement.js";
import type { PlacementQuery } from "./placementQuery.js";
import { DEFAULT_GAP_MS } from "./requestLoad.js";
import type { RouteTable } from "./RouteTable.js";

/** The prompt of a query as placement sees it at the monotonic time `now`. */
export const newPlacementRequest = (
  query: PlacementQuery,
  options: {
    engine: EngineSpec;
    now: number;
    costs: CostBook | undefined;
    table: RouteTable | undefined;
  },
): PlacementRequest => {
  const { req, pool, deadlineAtMs, timeline } = query;
  const { engine, now, costs, table } = options;
  const { tokens, memoryTokens } = estimateAnswer(costs, req, pool);
  return {
    ...{ promptTokens: req.head.promptTokens, outputTokens: tokens, memoryTokens },
    // Not by rank: a prompt that counts for less is split less, and holds up the short ones behind it.
    value: estimateValue(req.head.promptTokens),
    ...(costs && { isLearned: true, stretch: estimateStretch(costs, req, pool) }),
    maxGapMs: req.route.maxGapMs ?? DEFAULT_GAP_MS,
    targetLeftMs: timeline.getTargetLeftMs(now),
    deadlineLeftMs: deadlineAtMs - now - tokens * engine.stepMs,
    shortGapMs: table?.getShortGapMs(pool) ?? 0,
  };
};
