import type { PlacementCandidate } from "./placement.js";

/**
 * Leaves out upstreams with a request that may crash them, unless all have one. Such a request itself
 * goes where the fewest others are.
 */
export const selectSeparate = (
  candidates: readonly PlacementCandidate[],
  isApart: boolean,
): readonly PlacementCandidate[] => {
  const separate = candidates.filter(({ load }) => load.apart === 0);
  const usable = separate.length > 0 ? separate : candidates;
  const fewest = Math.min(...usable.map(({ load }) => load.inFlight));
  return isApart ? usable.filter(({ load }) => load.inFlight === fewest) : usable;
};
