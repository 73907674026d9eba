import type { Random } from "@lycheepulley/core";

/** Picks at maxCount `maxCount` of the values at random, with equal probability. */
export const sample = <T>(values: readonly T[], maxCount: number, random: Random): T[] => {
  const remaining = [...values];
  const picked: T[] = [];
  while (remaining.length > 0 && picked.length < maxCount) {
    picked.push(...remaining.splice(Math.floor(random.next() * remaining.length), 1));
  }
  return picked;
};
