import { toConfigFaults, type ConfigFault } from "@lycheepulley/core";

import { fleetConfigSchema, type FleetConfig } from "../fleetConfig.js";

/** The validated configuration, or all its validation errors. */
export type FleetConfigCheck =
  | { readonly ok: true; readonly config: FleetConfig }
  | { readonly ok: false; readonly faults: readonly ConfigFault[] };

/** Faults of entries that bear the same name as an earlier one. */
const findRepeated = (
  entries: readonly { readonly id: string; readonly path: string }[],
  message: string,
): ConfigFault[] => {
  const known = new Set<string>();
  return entries.flatMap(({ id, path }) => {
    const isRepeated = known.has(id);
    known.add(id);
    return isRepeated ? [{ path, message }] : [];
  });
};

const findRouteFaults = ({ routes, pools }: FleetConfig): ConfigFault[] => {
  const names = new Set(pools.map(({ name }) => name));
  return routes.flatMap((route, at) => {
    const path = `routes.${String(at)}.pools`;
    const unknown = route.pools.flatMap(({ pool }, index) =>
      names.has(pool)
        ? []
        : [{ path: `${path}.${String(index)}.pool`, message: `unknown pool "${pool}"` }],
    );
    const hasWeight = route.pools.some(({ weight }) => weight > 0);
    return [...unknown, ...(hasWeight ? [] : [{ path, message: "no pool has a weight above 0" }])];
  });
};

/** A key belongs to one customer; that customer may list it more than once. */
const findKeyFaults = ({ customers = [] }: FleetConfig): ConfigFault[] => {
  const holders = new Map<string, string>();
  return customers.flatMap(({ name, apiKeys }, at) =>
    apiKeys.flatMap((key, index) => {
      const holder = holders.get(key) ?? name;
      holders.set(key, holder);
      const path = `customers.${String(at)}.apiKeys.${String(index)}`;
      return holder === name ? [] : [{ path, message: `same key as customer "${holder}"` }];
    }),
  );
};

/** Finds errors that depend on several fields; the schema checks each field alone. */
const findCrossFieldFaults = (config: FleetConfig): ConfigFault[] => [
  ...findRepeated(
    config.routes.map(({ host, pathPrefix }, at) => ({
      ...{ id: `${host.toLowerCase()} ${pathPrefix}`, path: `routes.${String(at)}.pathPrefix` },
    })),
    "same host and prefix as another route",
  ),
  ...findRepeated(
    config.pools.map(({ name }, at) => ({ id: name, path: `pools.${String(at)}.name` })),
    "same name as another pool",
  ),
  ...findRouteFaults(config),
  ...findKeyFaults(config),
];

/** Validates a configuration for forwarding as a whole. */
export const checkFleetConfig = (raw: unknown): FleetConfigCheck => {
  const parsed = fleetConfigSchema.safeParse(raw);
  if (!parsed.success) {
    return { ok: false, faults: toConfigFaults(parsed.error) };
  }
  const faults = findCrossFieldFaults(parsed.data);
  return faults.length > 0 ? { ok: false, faults } : { ok: true, config: parsed.data };
};
