import type { TimedLoadItem } from "../load.js";

/** Past use loses half of its weight in this time. */
const HALF_LIFE_MS = 5_000;
/** Shortest and longest time between two looks at the requests in flight that counts, milliseconds. */
const MIN_LOOK_MS = 20;
const MAX_LOOK_MS = 1_000;
/** Most customers of a pool that are told apart; those who use least are counted together with unknown ones. */
const MAX_CUSTOMERS = 256;
/** Use below which a customer is forgotten: work in milliseconds, memory in tokens times milliseconds. */
const FORGOTTEN = { workMs: 0.05, tokenMs: 1_000 };

/** What a customer has used of a pool of late. */
export interface Usage {
  /** Work in milliseconds of one whole upstream: prefill, and the slots of its requests. */
  readonly workMs: number;
  /** KV memory, in tokens times milliseconds. */
  readonly tokenMs: number;
  /** Number of requests. */
  readonly requests: number;
}

const NONE: Usage = { workMs: 0, tokenMs: 0, requests: 0 };

/** Use of one pool by customer key; that of nobody known is under the empty key. */
export type PoolUsage = ReadonlyMap<string, Usage>;

const add = (a: Usage, b: Usage, weight = 1): Usage => ({
  workMs: a.workMs * weight + b.workMs,
  tokenMs: a.tokenMs * weight + b.tokenMs,
  requests: a.requests * weight + b.requests,
});

/** Sums what customers use of each pool, by looks at the load items of all processes. */
export class UsageMeter {
  #pools = new Map<string, Map<string, Usage>>();
  #known: ReadonlySet<string> = new Set();
  #lookedMs = -Infinity;

  /** Use of a pool, as of the last look. */
  get(pool: string): PoolUsage {
    return this.#pools.get(pool) ?? new Map<string, Usage>();
  }

  get pools(): readonly string[] {
    return [...this.#pools.keys()];
  }

  /** Looks at the requests in flight at the monotonic time `nowMs`; `slots` tells how many an upstream of a pool has. */
  look(
    listItems: () => readonly TimedLoadItem[],
    { nowMs, getSlots }: { nowMs: number; getSlots: (pool: string) => number },
  ): void {
    const sinceMs = nowMs - this.#lookedMs;
    if (sinceMs < MIN_LOOK_MS) {
      return;
    }
    this.#lookedMs = nowMs;
    this.#fade(0.5 ** (sinceMs / HALF_LIFE_MS));
    const lookMs = Math.min(sinceMs, MAX_LOOK_MS);
    const ids = new Set<string>();
    for (const item of listItems()) {
      if (!item.promise) {
        ids.add(item.id);
        this.#add(item, { lookMs, slots: getSlots(item.pool) });
      }
    }
    this.#known = ids;
    this.#bound();
  }

  #add(item: TimedLoadItem, { lookMs, slots }: { lookMs: number; slots: number }): void {
    const isNew = !this.#known.has(item.id);
    const members = 1 + item.helpers.length;
    const tokens = item.heldTokens.reduce((sum, held) => sum + held, item.kvTokens);
    const used: Usage = {
      workMs: lookMs / slots + (isNew ? item.readMs * members : 0),
      tokenMs: tokens * lookMs,
      requests: isNew ? 1 : 0,
    };
    const customers = this.#pools.get(item.pool) ?? new Map<string, Usage>();
    const key = item.customer ?? "";
    customers.set(key, add(customers.get(key) ?? NONE, used));
    this.#pools.set(item.pool, customers);
  }

  #fade(weight: number): void {
    for (const [pool, customers] of this.#pools) {
      for (const [key, usage] of customers) {
        const faded = add(usage, NONE, weight);
        if (faded.workMs < FORGOTTEN.workMs && faded.tokenMs < FORGOTTEN.tokenMs) {
          customers.delete(key);
        } else {
          customers.set(key, faded);
        }
      }
      if (customers.size === 0) {
        this.#pools.delete(pool);
      }
    }
  }

  /** Counts those who use least as unknown once there are too many customers. */
  #bound(): void {
    for (const customers of this.#pools.values()) {
      const known = [...customers].filter(([key]) => key !== "");
      const least = known.sort(([, a], [, b]) => a.workMs - b.workMs);
      for (const [key, usage] of least.slice(0, Math.max(0, known.length - MAX_CUSTOMERS))) {
        customers.delete(key);
        customers.set("", add(customers.get("") ?? NONE, usage));
      }
    }
  }
}
