import { getBusyness } from "./costs/placementCosts.js";
import type { Upstream } from "./fleetConfig.js";
import { FAILURE_COST, LIMITED_COST, type PlacementCandidate } from "./placement.js";

/** Spreads calls to equally loaded instances of a service. */
const CALL_COST_JITTER = 0.05;

/** The slowest calls take several times the usual, and come late first. */
const PACE_WEIGHT = 4;

/** What is known of a call. */
export interface CallEstimate {
  /** Usual time, milliseconds; undefined when unknown. */
  readonly callMs?: number | undefined;
  /** Latency objective, milliseconds. */
  readonly targetMs: number;
}

/** Cost of sending a call to a candidate. */
export const getCallCost = (
  candidate: PlacementCandidate,
  { callMs, targetMs }: CallEstimate,
): number => {
  const { upstream, load, failureRate, avoidance, pace = 1 } = candidate;
  const { slots } = upstream;
  return (
    (callMs === undefined ? load.inFlight / slots : getBusyness(load, slots, callMs)) +
    PACE_WEIGHT * (pace - 1) * ((callMs ?? 0) / targetMs) +
    FAILURE_COST * failureRate +
    LIMITED_COST * avoidance
  );
};

/** Chooses an upstream for a call to a plain service; undefined from an empty list. */
export const pickServiceUpstream = (
  candidates: readonly PlacementCandidate[],
  random: { next(): number },
  call: CallEstimate,
): Upstream | undefined => {
  let best: { upstream: Upstream; cost: number } | undefined;
  for (const candidate of candidates) {
    const cost = getCallCost(candidate, call) + random.next() * CALL_COST_JITTER;
    if (!best || cost < best.cost) {
      best = { upstream: candidate.upstream, cost };
    }
  }
  return best?.upstream;
};
