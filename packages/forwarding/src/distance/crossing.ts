import type { EngineSpec, Upstream } from "../fleetConfig.js";
import type { UpstreamLoad } from "../load.js";
import type { PlacementCandidate } from "../placement.js";
import type { ForwardRequest } from "../types.js";

/** Cost of a byte between failure domains, in the unit of a request's worth: a megabyte weighs as a short prompt. */
const BYTE_COST = 1e-6;
/** Bytes of a token of text, and of the heads of a request and its answer. */
const TOKEN_BYTES = 4;
const HEAD_BYTES = 1_000;
/** Share of an objective that its worth loses by delay, as placement weighs delays. */
const DELAY_WEIGHT = 0.25;

/** Requests for each upstream of which this process doesn't know yet, from which on distance isn't weighed. */
const MAX_UNSEEN = 0.1;

/** A request to weigh: its bytes and its objective. */
export type CrossingRequest = Pick<ForwardRequest, "body" | "head" | "route">;

/** Cost of sending a request to another failure domain and its answer back, in the unit of its worth. */
export const getCrossingCost = (
  { body, head, route }: CrossingRequest,
  engine: EngineSpec | undefined,
): number => {
  const bytes = HEAD_BYTES + body.length + TOKEN_BYTES * head.outputTokens;
  const delayMs = 2 * (engine?.hopMs ?? 0);
  return BYTE_COST * bytes + (DELAY_WEIGHT * delayMs) / route.targetMs;
};

/** True for an upstream in the process's own failure domain, or where distance doesn't count. */
export const isNear = ({ crossingCost = 0 }: Pick<PlacementCandidate, "crossingCost">): boolean =>
  crossingCost === 0;

/** True when the loads may be so old that processes which prefer the same upstreams would fill them unseen. */
export const areOld = (
  upstreams: readonly Upstream[],
  loads: ReadonlyMap<string, UpstreamLoad>,
): boolean =>
  upstreams.reduce((sum, { id }) => sum + (loads.get(id)?.unseen ?? 0), 0) >
  MAX_UNSEEN * upstreams.length;

/** Sets the cost of the crossing at candidates in other failure domains than `failureDomain`. */
export const addCrossingCost = (
  candidates: readonly PlacementCandidate[],
  failureDomain: string,
  cost: number,
): PlacementCandidate[] =>
  candidates.map((candidate) =>
    candidate.upstream.failureDomain === failureDomain
      ? candidate
      : { ...candidate, crossingCost: cost },
  );
