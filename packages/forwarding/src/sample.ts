import type { Random } from "@lycheepulley/core";

/** Picks at most `most` of the values, each as likely as any other. */
export const sample = <T>(values: readonly T[], most: number, random: Random): T[] => {
  const left = [...values];
  const picked: T[] = [];
  while (left.length > 0 && picked.length < most) {
    picked.push(...left.splice(Math.floor(random.next() * left.length), 1));
  }
  return picked;
};
