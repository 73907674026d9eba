import { LoadPhase, type LoadItem } from "./load.js";
import {
  isExpectedLate,
  isForOneUpstream,
  type PlacementPlan,
  type PlacementRequest,
} from "./placement.js";
import type { ForwardRequest } from "./types.js";
import type { PlacementCost } from "./costs/placementCosts.js";

/** Gap objective assumed for routes that state none. */
export const DEFAULT_GAP_MS = 1_000;

type RequestLoad = Omit<LoadItem, "id" | "pool" | "upstream" | "kvTokens">;

/** Load of a call to a plain service, which has no phases, parts or events. */
export const CALL_LOAD: RequestLoad = {
  ...{ phase: LoadPhase.Writing, helpers: [], readMs: 0, heldTokens: [], value: 1 },
  ...{ maxGapMs: DEFAULT_GAP_MS, targetLeftMs: 0, deadlineLeftMs: 0, isLate: false },
};

/** Load of a call, as far as its cost is known. */
export const getCallLoad = (cost: PlacementCost | undefined): RequestLoad =>
  cost?.writeMs === undefined ? CALL_LOAD : { ...CALL_LOAD, writeMs: Math.round(cost.writeMs) };

/** Load of a prompt as it was planned. */
export const getPromptLoad = (plan: PlacementPlan, request: PlacementRequest): RequestLoad => ({
  phase: LoadPhase.Reading,
  helpers: plan.helpers.map(({ id }) => id),
  readMs: Math.ceil(plan.readMs),
  heldTokens: [...plan.heldTokens],
  maxGapMs: request.maxGapMs,
  targetLeftMs: Math.round(request.targetLeftMs),
  deadlineLeftMs: Math.round(request.deadlineLeftMs),
  value: Number(request.value.toFixed(2)),
  isLate: isExpectedLate(plan, request),
  ...(request.isLearned && { writeMs: Math.round(plan.decode.writeMs) }),
  // The memory of short prompts is too small to be told apart in messages for each of them.
  ...(!isForOneUpstream(request.promptTokens) && { outputTokens: request.outputTokens }),
});

/** Tokens that a request occupies in the KV memory of its decoder. */
export const getKvTokens = (
  req: ForwardRequest,
  plan: PlacementPlan | undefined,
  request?: Pick<PlacementRequest, "memoryTokens">,
): number => {
  const answerTokens = request?.memoryTokens ?? req.head.outputTokens;
  const held = plan?.heldTokens.reduce((sum, tokens) => sum + tokens, 0) ?? 0;
  return Math.max(0, req.head.promptTokens + answerTokens - held);
};
