import type { CostBook } from "./costs/CostBook.js";
import { estimateAnswer, estimateStretch } from "./costs/placementCosts.js";
import type { EngineSpec } from "./fleetConfig.js";
import { estimateValue } from "./lateness.js";
import type { PlacementRequest } from "./placement.js";
import type { AnswerTimeline } from "./AnswerTimeline.js";
import { DEFAULT_GAP_MS } from "./requestLoad.js";
import type { ForwardRequest } from "./types.js";

/** True when the caller resumes a stream of which it has events, perhaps from another process. */
export const isResumed = ({ head, route }: ForwardRequest): boolean =>
  route.isResumable && head.lastEventId !== undefined;

/** The prompt of a query as placement sees it at the monotonic time `now`. */
export const newPlacementRequest = (
  {
    req,
    pool,
    deadlineAtMs,
    timeline,
  }: {
    readonly req: ForwardRequest;
    readonly pool: string;
    readonly deadlineAtMs: number;
    readonly timeline: AnswerTimeline;
  },
  { engine, now, costs }: { engine: EngineSpec; now: number; costs: CostBook | undefined },
): Omit<PlacementRequest, "shortGapMs"> => {
  const { tokens, memoryTokens } = estimateAnswer(costs, req, pool);
  return {
    ...{ promptTokens: req.head.promptTokens, outputTokens: tokens, memoryTokens },
    ...(costs && { isLearned: true, stretch: estimateStretch(costs, req, pool) }),
    maxGapMs: req.route.maxGapMs ?? DEFAULT_GAP_MS,
    targetLeftMs: timeline.getTargetLeftMs(now),
    deadlineLeftMs: deadlineAtMs - now - tokens * engine.stepMs,
    value: estimateValue(req.head.promptTokens),
  };
};
