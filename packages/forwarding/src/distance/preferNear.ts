import type { EngineSpec, Upstream } from "../fleetConfig.js";
import { pickServiceUpstream, type CallEstimate } from "../pickServiceUpstream.js";
import {
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "../placement.js";
import { isNear } from "./crossing.js";

/** Share of the time left, or of an upstream's slots, up to which a near upstream keeps nobody waiting. */
const EASE_SHARE = 0.5;

/** Cost of the crossings of a plan's members. */
const getPlanCrossing = (
  { upstream, helpers }: PlacementPlan,
  candidates: readonly PlacementCandidate[],
): number => {
  const ids = new Set([upstream, ...helpers].map(({ id }) => id));
  return candidates
    .filter((candidate) => ids.has(candidate.upstream.id))
    .reduce((sum, { crossingCost = 0 }) => sum + crossingCost, 0);
};

/** True when only some of the candidates are near, so that there is a choice. */
const isMixed = (candidates: readonly PlacementCandidate[]): boolean =>
  candidates.some(isNear) && !candidates.every(isNear);

/**
 * Plans a prompt on near upstreams unless others save what its caller, or other callers, would lose. How
 * tightly answers are packed doesn't count between failure domains: each has its own open upstreams.
 */
export const planNear = (
  engine: EngineSpec,
  req: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementPlan | undefined => {
  const best = planPlacement(engine, req, candidates);
  if (!best || !isMixed(candidates)) {
    return best;
  }
  const crossingCost = getPlanCrossing(best, candidates);
  const near = crossingCost > 0 ? planPlacement(engine, req, candidates.filter(isNear)) : undefined;
  if (!near || near.stake > best.stake + crossingCost) {
    return best;
  }
  const easeMs = Math.max(best.firstEventMs, EASE_SHARE * req.targetLeftMs);
  return near.firstEventMs <= easeMs ? near : best;
};

/** Chooses an upstream for a call: a near one unless it has half of its slots taken, fails or is slower than others. */
export const pickNear = (
  candidates: readonly PlacementCandidate[],
  random: { next(): number },
  call: CallEstimate,
): Upstream | undefined => {
  const best = pickServiceUpstream(candidates, random, call);
  const chosen = candidates.find(({ upstream }) => upstream.id === best?.id);
  if (!chosen || isNear(chosen) || !isMixed(candidates)) {
    return best;
  }
  const { callMs = 0, targetMs } = call;
  const isAtEase = (candidate: PlacementCandidate): boolean => {
    const { upstream, load, failureRate, avoidance, pace = 1 } = candidate;
    return (
      load.inFlight + load.unseen + 1 <= EASE_SHARE * upstream.slots &&
      failureRate <= chosen.failureRate &&
      avoidance <= chosen.avoidance &&
      pace * callMs <= Math.max((chosen.pace ?? 1) * callMs, EASE_SHARE * targetMs)
    );
  };
  const near = candidates.filter((candidate) => isNear(candidate) && isAtEase(candidate));
  return pickServiceUpstream(near, random, call) ?? best;
};
