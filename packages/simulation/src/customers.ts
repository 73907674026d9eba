import { SeededRandom, type Random } from "@lycheepulley/core";

import type { Pattern } from "./pattern.js";

type Customer = NonNullable<Pattern["customers"]>[number];

const MAX_SEED = 2 ** 31;

/** Where requests come from: one customer, or callers without keys. */
export interface RequestSource {
  readonly customer: Customer | undefined;
  readonly random: Random;
}

/** Sources of a pattern. Each customer has its own random numbers, so that what one asks doesn't change what others ask. */
export const newSources = (
  customers: Pattern["customers"],
  random: Random,
): readonly RequestSource[] =>
  customers?.map((customer) => ({
    ...{ customer, random: new SeededRandom(Math.floor(random.next() * MAX_SEED)) },
  })) ?? [{ customer: undefined, random }];

/** Requests of a source at a time, as a multiple of those of the whole pattern. */
export const getSourceFactor = ({ customer }: RequestSource, nowMs: number): number => {
  const surge = customer?.surges?.find(({ atMs, forMs }) => atMs <= nowMs && nowMs < atMs + forMs);
  return (customer?.part ?? 1) * (surge?.factor ?? 1);
};

/** Highest of {@link getSourceFactor} at any time. */
export const getHighestFactor = ({ customer }: RequestSource): number =>
  (customer?.part ?? 1) * Math.max(1, ...(customer?.surges ?? []).map(({ factor }) => factor));
