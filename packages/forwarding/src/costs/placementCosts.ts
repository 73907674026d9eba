import type { UpstreamLoad } from "../load.js";
import type { Upstream } from "../fleetConfig.js";
import type { PlacementCandidate } from "../placement.js";
import type { ForwardRequest } from "../types.js";
import { CostKind, type CostBook, type LengthEstimate } from "./CostBook.js";

/** What the placement of a request assumed of its cost. */
export interface PlacementCost {
  /** Share of the upstream's slots that was taken, without this request. */
  readonly takenShare: number;
  /** Usual time of such a call at an upstream of usual pace, milliseconds; undefined when unknown. */
  readonly callMs: number | undefined;
  /** Time of the call at this upstream. */
  readonly writeMs: number | undefined;
}

/** Expected length of a request's answer; without costs, what the caller states as the most. */
export const estimateAnswer = (
  costs: CostBook | undefined,
  { head, route, customer }: ForwardRequest,
  pool: string,
): LengthEstimate => {
  const { outputTokens, outputHint } = head;
  const stated = { limitTokens: outputTokens, hintTokens: outputHint };
  return (
    costs?.estimateLength({ pool, route: route.name, customer }, stated) ?? {
      ...{ tokens: outputTokens, memoryTokens: outputTokens },
    }
  );
};

/** Factor by which answers of such requests take longer than their passes alone. */
export const estimateStretch = (
  costs: CostBook | undefined,
  { route, customer }: ForwardRequest,
  pool: string,
): number => costs?.estimate(CostKind.Stretch, { pool, route: route.name, customer }) ?? 1;

/** Usual time of such a call, milliseconds; undefined when unknown. */
export const estimateCallMs = (
  costs: CostBook | undefined,
  { route, customer }: ForwardRequest,
  pool: string,
): number | undefined => costs?.estimate(CostKind.Call, { pool, route: route.name, customer });

/** The upstream's pace, and its load with the times that this makes of its prefill. */
export const applyPace = (
  costs: CostBook | undefined,
  upstream: Pick<Upstream, "id" | "slots">,
  load: UpstreamLoad,
): { readonly load: UpstreamLoad; readonly pace?: number } => {
  if (!costs) {
    return { load };
  }
  const pace = costs.paces.get(upstream.id, load.inFlight / upstream.slots);
  if (pace === 1) {
    return { load, pace };
  }
  const { pendingReadMs, pendingHelpMs } = load;
  return {
    pace,
    load: { ...load, pendingReadMs: pendingReadMs * pace, pendingHelpMs: pendingHelpMs * pace },
  };
};

/** Weight of the work that an upstream has left beside the number of its calls, while it has free slots. */
const WORK_WEIGHT = 0.25;

/**
 * How busy an upstream is for a call that takes `callMs`: its share of taken slots and some of the work
 * that it has left, as slots become free by that; all of the work once no slot is free.
 */
export const getBusyness = (load: UpstreamLoad, slots: number, callMs: number): number => {
  const { inFlight, endsMs } = load;
  const leftMs = endsMs.reduce((sum, ms) => sum + ms, 0) + (inFlight - endsMs.length) * callMs;
  const leftShare = leftMs / (slots * callMs);
  return inFlight < slots
    ? inFlight / slots + (WORK_WEIGHT * leftShare) / (1 + leftShare)
    : 1 + WORK_WEIGHT + leftShare;
};

/** What was assumed of a request's cost when it was placed. */
export const getCost = (
  candidates: readonly PlacementCandidate[],
  { id }: Upstream,
  callMs?: number,
): PlacementCost | undefined => {
  const chosen = candidates.find(({ upstream }) => upstream.id === id);
  return (
    chosen && {
      takenShare: chosen.load.inFlight / chosen.upstream.slots,
      ...{ callMs, writeMs: callMs === undefined ? undefined : callMs * (chosen.pace ?? 1) },
    }
  );
};
