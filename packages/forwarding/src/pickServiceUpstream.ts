import { getBusyness } from "./costs/placementCosts.js";
import type { Upstream } from "./fleetConfig.js";
import { FAILURE_COST, LIMITED_COST, type PlacementCandidate } from "./placement.js";

/** Spreads calls to equally loaded instances of a service. */
const CALL_COST_JITTER = 0.05;

/** Cost of sending a call that usually takes `callMs`, or an unknown time, to a candidate. */
export const getCallCost = (candidate: PlacementCandidate, callMs: number | undefined): number => {
  const { upstream, load, failureRate, avoidance, pace = 1 } = candidate;
  const { slots } = upstream;
  return (
    (callMs === undefined ? load.inFlight / slots : getBusyness(load, slots, callMs)) +
    (pace - 1) +
    FAILURE_COST * failureRate +
    LIMITED_COST * avoidance
  );
};

/**
 * Chooses an upstream for a call to a plain service, which usually takes `callMs` or an unknown time;
 * undefined from an empty list.
 */
export const pickServiceUpstream = (
  candidates: readonly PlacementCandidate[],
  random: { next(): number },
  callMs?: number,
): Upstream | undefined => {
  let best: { upstream: Upstream; cost: number } | undefined;
  for (const candidate of candidates) {
    const cost = getCallCost(candidate, callMs) + random.next() * CALL_COST_JITTER;
    if (!best || cost < best.cost) {
      best = { upstream: candidate.upstream, cost };
    }
  }
  return best?.upstream;
};
