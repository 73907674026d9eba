import type { Random } from "@lycheepulley/core";

import type { Upstream } from "./fleetConfig.js";
import type { UpstreamLoad } from "./load.js";
import { sample } from "./sample.js";

/**
 * Upstreams among which one request chooses, a random sample of a larger pool.
 * Otherwise many processes that choose at the same moment would take the same one.
 */
const MAX_CANDIDATES = 24;
/** The same for a small prompt whose process asks a peer for their loads, at a cost for each. */
const MAX_ASKED_CANDIDATES = 8;
/** A small prompt chooses among at least this many. */
const MIN_CANDIDATES = 3;
/** Requests that all processes may send to one upstream before they hear of each other. */
const UNSEEN_PER_UPSTREAM = 0.5;
/** Share of the sample that is near where distance counts. */
const NEAR_SHARE = 0.5;

/**
 * Upstreams among which a prompt for a single upstream chooses. All processes rank upstreams alike, so
 * that the best of the whole pool gets all requests of the time in which a change reaches the peers.
 * The more of them there are, the fewer upstreams each request compares.
 */
const getSmallSample = (upstreams: number, unseen: number): number =>
  Math.max(MIN_CANDIDATES, Math.ceil((UNSEEN_PER_UPSTREAM * upstreams) / unseen));

/** A sample of which up to half are near, as far as there are enough of each. */
const sampleNear = (
  upstreams: readonly Upstream[],
  count: number,
  { nearDomain, random }: { nearDomain: string; random: Random },
): readonly Upstream[] => {
  const near = upstreams.filter(({ failureDomain }) => failureDomain === nearDomain);
  const far = upstreams.filter(({ failureDomain }) => failureDomain !== nearDomain);
  const nearCount = Math.max(Math.ceil(count * NEAR_SHARE), count - far.length);
  const picked = sample(near, nearCount, random);
  return [...picked, ...sample(far, count - picked.length, random)];
};

/** Picks the upstreams among which a request chooses; as many near as far ones where distance counts. */
export const selectCandidates = (
  upstreams: readonly Upstream[],
  loads: ReadonlyMap<string, UpstreamLoad>,
  {
    isSmall,
    isAsked = false,
    random,
    nearDomain,
  }: { isSmall: boolean; isAsked?: boolean; random: Random; nearDomain?: string | undefined },
): readonly Upstream[] => {
  const unseen = upstreams.reduce((sum, { id }) => sum + (loads.get(id)?.unseen ?? 0), 0);
  const max = isSmall && isAsked ? MAX_ASKED_CANDIDATES : MAX_CANDIDATES;
  const most =
    isSmall && unseen > 0 ? Math.min(max, getSmallSample(upstreams.length, unseen)) : max;
  if (upstreams.length <= most) {
    return upstreams;
  }
  return nearDomain === undefined
    ? sample(upstreams, most, random)
    : sampleNear(upstreams, most, { nearDomain, random });
};
