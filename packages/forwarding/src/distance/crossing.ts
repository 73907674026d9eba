import type { EngineSpec, Upstream } from "../fleetConfig.js";
import type { PlacementCandidate } from "../placement.js";
import type { ForwardRequest } from "../types.js";

/** Cost of a byte between failure domains, in the unit of a request's worth: a megabyte weighs as a short prompt. */
const BYTE_COST = 1e-6;
/** Bytes of a token of text, and of the heads of a request and its answer. */
const TOKEN_BYTES = 4;
const HEAD_BYTES = 1_000;
/** Share of an objective that its worth loses by delay, as placement weighs delays. */
const DELAY_WEIGHT = 0.25;

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

/** Sets the cost of the crossing at candidates in other failure domains than `failureDomain`. */
export const addCrossingCost = <T extends { readonly upstream: Upstream }>(
  candidates: readonly T[],
  failureDomain: string,
  cost: number,
): (T & Pick<PlacementCandidate, "crossingCost">)[] =>
  candidates.map((candidate) =>
    candidate.upstream.failureDomain === failureDomain
      ? candidate
      : { ...candidate, crossingCost: cost },
  );
