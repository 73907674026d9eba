import { countCalls } from "./costs/placementCosts.js";
import type { Upstream } from "./fleetConfig.js";
import { FAILURE_COST, LIMITED_COST, type PlacementCandidate } from "./placement.js";

/** Spreads calls to equally loaded instances of a service. */
const CALL_COST_JITTER = 0.05;

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
  for (const { upstream, load, failureRate, avoidance, pace = 1 } of candidates) {
    const calls = callMs === undefined ? load.inFlight : countCalls(load, callMs);
    const cost =
      calls / upstream.slots +
      (pace - 1) +
      FAILURE_COST * failureRate +
      LIMITED_COST * avoidance +
      random.next() * CALL_COST_JITTER;
    if (!best || cost < best.cost) {
      best = { upstream, cost };
    }
  }
  return best?.upstream;
};
