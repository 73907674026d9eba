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
  upstream: Upstream,
  load: UpstreamLoad,
): { readonly load: UpstreamLoad; readonly pace?: number } => {
  if (!costs) {
    return { load };
  }
  const pace = costs.paces.get(upstream.id, load.inFlight / upstream.slots);
  const { pendingReadMs, pendingHelpMs } = load;
  return {
    pace,
    load: { ...load, pendingReadMs: pendingReadMs * pace, pendingHelpMs: pendingHelpMs * pace },
  };
};

/** Expected time until the `count`th request at an upstream ends, milliseconds; undefined when unknown. */
export const getEndMs = ({ endsMs, inFlight }: UpstreamLoad, count: number): number | undefined =>
  inFlight === 0 || endsMs.length < inFlight
    ? undefined
    : [...endsMs].sort((a, b) => a - b)[Math.min(count, endsMs.length) - 1];

/** Work at an upstream in calls that take `callMs`, where those of unknown cost count as one. */
export const countCalls = (load: UpstreamLoad, callMs: number): number => {
  const knownMs = load.endsMs.reduce((sum, ms) => sum + ms, 0);
  return knownMs / callMs + Math.max(0, load.inFlight - load.endsMs.length);
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
