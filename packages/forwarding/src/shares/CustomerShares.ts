import type { Clock } from "@lycheepulley/core";

import type { FleetView } from "../FleetView.js";
import type { LoadTracker } from "../LoadTracker.js";
import type { RouteTable } from "../RouteTable.js";
import { getRankWeight } from "../lateness.js";
import { getCustomerKey } from "./customerKey.js";
import { getFairLevel, sumExcess, type CustomerUse } from "./fairShares.js";
import { UsageMeter, type PoolUsage, type Usage } from "./UsageMeter.js";

/** Share of a pool in use from which it is contended. */
const CONTENDED_SHARE = 0.5;
/** Share of a pool up to which customers above their shares may fill it; the rest is for those below. */
const FILLED_SHARE = 0.6;
/** The same for callers that return when they were told to, who go before newcomers. */
const FILLED_BY_RETURNS_SHARE = 0.63;
/** A customer isn't above its share until it uses this much of an equal part of what is in use. */
const TOLERANCE = 1.25;
/** Requests of late without which nothing is known of shares. */
const MIN_REQUESTS = 10;

/** Shares of a pool that are in use. */
export interface PoolPressure {
  /** Share of the capacity for work, 0 to 1. */
  readonly busyShare: number;
  /** Share of the KV memory, 0 to 1. */
  readonly memoryShare: number;
}

const getInUse = ({ busyShare, memoryShare }: PoolPressure): number =>
  Math.max(busyShare, memoryShare);

/** True while requests compete for a pool. */
export const isContended = (pressure: PoolPressure): boolean =>
  getInUse(pressure) >= CONTENDED_SHARE;

/** How a customer's use of a contended pool compares with its share. */
export interface ShareState {
  /** Share of the pool that the customer uses, of the resource that is scarcest. */
  readonly usedShare: number;
  /** Share that it may use before it is shed, as others want the rest. */
  readonly allowedShare: number;
  /** The customer is shed before others. */
  readonly isAbove: boolean;
  /** Weight of its prompts beside those of others, 1 or less. */
  readonly weight: number;
  /** Part of what is in use that remains without what other customers use beyond their shares. */
  readonly relief: number;
}

/** Part of the work of a pool that was for one customer of late, 0 to 1. */
export interface UsedShare {
  readonly pool: string;
  /** Empty for requests of nobody known. */
  readonly customer: string;
  readonly share: number;
}

interface Options {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly loadTracker: LoadTracker;
}

/**
 * Shares of customers in contended pools, from the requests of all processes that this one knows of. Shares
 * are weighted by priority, and what one customer doesn't use others may.
 */
export class CustomerShares {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #loadTracker: LoadTracker;
  readonly #meter = new UsageMeter();
  #names: { table: RouteTable | undefined; byKey: ReadonlyMap<string, string> } = {
    ...{ table: undefined, byKey: new Map() },
  };

  constructor({ clock, view, loadTracker }: Options) {
    this.#clock = clock;
    this.#view = view;
    this.#loadTracker = loadTracker;
  }

  /** Undefined while the pool isn't contended, or where nothing is known of shares. */
  assess(
    { pool, customer, isReturn }: { pool: string; customer: string | undefined; isReturn: boolean },
    pressure: PoolPressure,
  ): ShareState | undefined {
    this.#look();
    const busyShare = getInUse(pressure);
    const usage = this.#meter.get(pool);
    const requests = sum(usage.values(), (used) => used.requests);
    if (!isContended(pressure) || customer === undefined || requests < MIN_REQUESTS) {
      return undefined;
    }
    const resource = pressure.memoryShare > pressure.busyShare ? "tokenMs" : "workMs";
    const uses = this.#getUses(pool, usage, { resource, busyShare });
    const own = uses.get(getCustomerKey(customer)) ?? {
      ...{ used: 0, weight: this.#getWeight(pool, customer) },
    };
    const known = [...uses.values()];
    const unknown = busyShare - sum(known, ({ used }) => used);
    const weights = sum(known, ({ weight }) => weight) || own.weight;
    const getAllowed = (filledShare: number): ((use: CustomerUse) => number) => {
      const level = getFairLevel(known, filledShare - unknown);
      const equal = (TOLERANCE * busyShare) / weights;
      return ({ weight }) => Math.max(level, equal) * weight;
    };
    const getSoft = getAllowed(CONTENDED_SHARE);
    const allowedShare = getAllowed(isReturn ? FILLED_BY_RETURNS_SHARE : FILLED_SHARE)(own);
    const others = known.filter((use) => use !== own);
    return {
      ...{ usedShare: own.used, allowedShare: Math.min(1, allowedShare) },
      isAbove: own.used > allowedShare,
      weight: Math.min(1, getSoft(own) / Math.max(own.used, Number.MIN_VALUE)),
      relief: 1 - sumExcess(others, getSoft) / busyShare,
    };
  }

  /** Share of what is used of each pool by each customer, for metrics. */
  get usedShares(): readonly UsedShare[] {
    return this.#meter.pools.flatMap((pool) => {
      const usage = this.#meter.get(pool);
      const allMs = sum(usage.values(), ({ workMs }) => workMs);
      return [...usage].map(([key, { workMs }]) => ({
        ...{ pool, customer: this.#getNames().get(key) ?? "", share: workMs / (allMs || 1) },
      }));
    });
  }

  #look(): void {
    this.#meter.look(() => this.#loadTracker.items, {
      nowMs: this.#clock.now(),
      getSlots: (pool) => this.#view.table?.findPool(pool)?.engine?.slots ?? 1,
    });
  }

  /** What each known customer uses, as a share of the pool. */
  #getUses(
    pool: string,
    usage: PoolUsage,
    { resource, busyShare }: { resource: keyof Usage; busyShare: number },
  ): ReadonlyMap<string, CustomerUse> {
    const all = sum(usage.values(), (used) => used[resource]);
    const known = [...usage].filter(([key]) => key !== "");
    return new Map(
      known.map(([key, used]) => [
        key,
        {
          used: (busyShare * used[resource]) / (all || 1),
          weight: this.#getWeight(pool, this.#getNames().get(key)),
        },
      ]),
    );
  }

  #getWeight(pool: string, customer: string | undefined): number {
    const { table } = this.#view;
    const priority = customer === undefined ? undefined : table?.findPriority(customer);
    return priority === undefined ? 1 : getRankWeight(table?.getRank(pool, priority));
  }

  /** Names of the configured customers by key. */
  #getNames(): ReadonlyMap<string, string> {
    const { table } = this.#view;
    if (this.#names.table !== table) {
      const names = (table?.config.customers ?? []).map(({ name }) => name);
      this.#names = { table, byKey: new Map(names.map((name) => [getCustomerKey(name), name])) };
    }
    return this.#names.byKey;
  }
}

const sum = <T>(values: Iterable<T>, get: (value: T) => number): number => {
  let total = 0;
  for (const value of values) {
    total += get(value);
  }
  return total;
};
