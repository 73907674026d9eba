/** Region of each failure domain; a domain without one belongs to no region. */
export type Regions = ReadonlyMap<string, string>;

/** Regions in which a request may be handled; undefined when it may be anywhere. */
export type Homes = ReadonlySet<string> | undefined;

/** Regions that all of these allow; those that allow any are undefined. */
export const intersectHomes = (allowed: readonly (readonly string[] | undefined)[]): Homes => {
  const named = allowed.filter((regions) => regions !== undefined);
  const [first, ...rest] = named;
  return first && new Set(first.filter((region) => rest.every((other) => other.includes(region))));
};

/** True when homes allow a failure domain; one of an unknown region is no home. */
export const isHome = (homes: Homes, regions: Regions, failureDomain: string): boolean => {
  const region = regions.get(failureDomain);
  return homes === undefined || (region !== undefined && homes.has(region));
};
