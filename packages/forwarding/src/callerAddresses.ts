import type { Random } from "@lycheepulley/core";

/**
 * Picks at most `most` of the addresses, each as likely as any other, so that
 * processes that answer for a large fleet don't all name the same part of it.
 */
export const sampleAddresses = (
  addresses: readonly string[],
  most: number,
  random: Random,
): string[] => {
  const left = [...addresses];
  const picked: string[] = [];
  while (left.length > 0 && picked.length < most) {
    picked.push(...left.splice(Math.floor(random.next() * left.length), 1));
  }
  return picked;
};
