import type { EngineSpec } from "../fleetConfig.js";
import { getReadMs } from "../engineModel.js";
import {
  getMaxMembers,
  getNeededKv,
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "../placement.js";
import { getAnswerMs } from "./forecast.js";
import { canHold, getFreeTokens, sumReleased } from "./memory.js";
import type { RoomClaim } from "./promise.js";

/** Times at which room becomes free that are closer together count as one: by this, or by a share of the time. */
const STEP_MS = 10;
const STEP_SHARE = 0.05;

/** Upstreams that are expected to have the memory for a prompt, and when. */
export interface FoundRoom {
  readonly inMs: number;
  /** The plan from then on. */
  readonly plan: PlacementPlan;
}

const advanceClaim = (claim: RoomClaim, ms: number): RoomClaim => ({
  ...claim,
  inMs: Math.max(0, claim.inMs - ms),
  roomMs: Math.max(0, claim.roomMs - ms),
  forMs: Math.max(0, claim.forMs - Math.max(0, ms - claim.inMs)),
});

/** A candidate as it is expected to be in `ms`, unless it gets more work. */
const advance = (candidate: PlacementCandidate, ms: number): PlacementCandidate => {
  const { load, releases = [] } = candidate;
  const later = releases.filter(({ inMs }) => inMs > ms);
  return {
    ...candidate,
    load: {
      ...load,
      kvTokens: load.kvTokens - sumReleased(releases, ms),
      inFlight: Math.max(0, load.inFlight - (releases.length - later.length)),
      pendingReadMs: Math.max(0, load.pendingReadMs - ms),
      pendingHelpMs: Math.max(0, load.pendingHelpMs - ms),
      ...(load.claims && { claims: load.claims.map((claim) => advanceClaim(claim, ms)) }),
    },
    releases: later.map(({ inMs, tokens }) => ({ inMs: inMs - ms, tokens })),
  };
};

/** Times at which the free memory of these upstreams grows; of those that count as one, the last. */
const listTimes = (candidates: readonly PlacementCandidate[]): number[] => {
  const times = candidates.flatMap(({ load, releases = [] }) => [
    ...releases.map(({ inMs }) => inMs),
    ...(load.claims ?? []).map(({ inMs, forMs }) => inMs + forMs),
  ]);
  const steps = [0];
  let untilMs = 0;
  for (const ms of times.sort((a, b) => a - b)) {
    if (ms > untilMs) {
      untilMs = ms + Math.max(STEP_MS, STEP_SHARE * ms);
      steps.push(ms);
    } else if (ms > 0) {
      steps[steps.length - 1] = ms;
    }
  }
  return steps;
};

/** Time that a prompt and its answer take at least. */
const getShortestMs = (engine: EngineSpec, req: PlacementRequest, maxMembers: number): number =>
  getReadMs(engine, req.promptTokens, maxMembers) +
  getAnswerMs(engine, req.outputTokens, { decoding: 0, contextTokens: 0 });

/** False when these upstreams lack the memory for a prompt now, however it is planned. */
export const mayHold = (
  engine: EngineSpec,
  req: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): boolean => {
  const maxMembers = getMaxMembers(req.promptTokens, candidates.length);
  const shortestMs = getShortestMs(engine, req, maxMembers);
  const free = candidates.map((candidate) =>
    getFreeTokens(engine, candidate, Math.min(1, candidate.pace ?? 1) * shortestMs),
  );
  return canHold(getNeededKv(req), free, maxMembers);
};

/** Index of the first of the times at which the memory suffices if nobody else is promised any. */
const findFirstIndex = (times: readonly number[], isEnough: (ms: number) => boolean): number => {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isEnough(times[middle] ?? Infinity)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
};

/**
 * Finds when upstreams are first expected to have the memory for a prompt beside what others were
 * promised; undefined when the claims of others leave none.
 */
export const findRoom = (
  engine: EngineSpec,
  req: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): FoundRoom | undefined => {
  const kvTokens = getNeededKv(req);
  const unlimited = candidates.filter(({ avoidance }) => avoidance === 0);
  const maxMembers = Math.max(1, getMaxMembers(req.promptTokens, unlimited.length));
  const usable = maxMembers > 1 ? unlimited : candidates;
  const shortestMs = getShortestMs(engine, req, maxMembers);
  const times = listTimes(usable);
  const unclaimed = usable.map(({ load, releases = [] }) => ({
    free: getFreeTokens(engine, { load: { ...load, claims: undefined } }),
    releases,
  }));
  const first = findFirstIndex(times, (ms) => {
    const free = unclaimed.map((one) => one.free + sumReleased(one.releases, ms));
    return canHold(kvTokens, free, maxMembers);
  });
  for (const inMs of times.slice(first)) {
    const later = usable.map((candidate) => advance(candidate, inMs));
    const free = later.map((candidate) => getFreeTokens(engine, candidate, shortestMs));
    const plan = canHold(kvTokens, free, maxMembers)
      ? planPlacement(engine, req, later)
      : undefined;
    if (plan) {
      return { inMs, plan };
    }
  }
  return undefined;
};
