/** What one customer uses of a pool, and its weight among those that use it. */
export interface CustomerUse {
  /** Share of the pool's capacity, 0 to 1. */
  readonly used: number;
  readonly weight: number;
}

/**
 * Use for each unit of weight up to which customers fit into `capacity` together; what one doesn't use of it
 * others may. Infinity when all fit as they are.
 */
export const getFairLevel = (uses: readonly CustomerUse[], capacity: number): number => {
  const sorted = [...uses].sort((a, b) => a.used / a.weight - b.used / b.weight);
  let left = Math.max(0, capacity);
  let weights = sorted.reduce((sum, { weight }) => sum + weight, 0);
  for (const { used, weight } of sorted) {
    const level = left / weights;
    if (used > level * weight) {
      return level;
    }
    left -= used;
    weights -= weight;
  }
  return Infinity;
};

/** Use of all beyond what `getAllowed` lets each have. */
export const sumExcess = (
  uses: readonly CustomerUse[],
  getAllowed: (use: CustomerUse) => number,
): number => uses.reduce((sum, use) => sum + Math.max(0, use.used - getAllowed(use)), 0);
