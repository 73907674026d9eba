import type { FleetConfig, Upstream } from "./fleetConfig.js";
import { RouteTable } from "./RouteTable.js";

/** What this process believes of configuration and upstreams. */
export class FleetView {
  #table: RouteTable | undefined;
  #upstreams = new Map<string, Upstream>();
  #byPool = new Map<string, Upstream[]>();
  #listVersion = 0;
  #listedMs = 0;

  /** Table of the configuration in force; undefined before any is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  get revision(): number {
    return this.#table?.config.revision ?? -1;
  }

  /** Counts the lists of upstreams that were applied. */
  get listVersion(): number {
    return this.#listVersion;
  }

  /** Monotonic time of the newest list. */
  get listedMs(): number {
    return this.#listedMs;
  }

  get upstreams(): ReadonlyMap<string, Upstream> {
    return this.#upstreams;
  }

  /** Puts a configuration in force; false when one as new already is. */
  applyConfig(config: FleetConfig): boolean {
    if (config.revision <= this.revision) {
      return false;
    }
    this.#table = new RouteTable(config);
    return true;
  }

  /** Replaces the list of upstreams; returns ids that left it or began to leave. */
  applyUpstreams(list: readonly Upstream[], nowMs: number): string[] {
    const next = new Map(list.map((upstream) => [upstream.id, upstream]));
    const left = [...this.#upstreams.values()]
      .filter(({ id, isLeaving }) => !isLeaving && (next.get(id)?.isLeaving ?? true))
      .map(({ id }) => id);
    this.#upstreams = next;
    this.#byPool = new Map();
    for (const upstream of list) {
      const pool = this.#byPool.get(upstream.pool) ?? [];
      pool.push(upstream);
      this.#byPool.set(upstream.pool, pool);
    }
    this.#listVersion += 1;
    this.#listedMs = nowMs;
    return left;
  }

  /** Upstreams of a pool that may take new work. */
  getAvailable(pool: string): readonly Upstream[] {
    return (this.#byPool.get(pool) ?? []).filter(({ isLeaving }) => !isLeaving);
  }
}
