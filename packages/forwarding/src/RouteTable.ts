import type { FleetConfig, ForwardCustomer, Pool, Route } from "./fleetConfig.js";
import { intersectHomes, type Homes } from "./regions.js";

/** Index of one configuration: routes by host and path prefix, customers by API key, pools by name. */
export class RouteTable {
  readonly config: FleetConfig;
  readonly #byHost = new Map<string, Map<string, Route>>();
  readonly #byApiKey = new Map<string, ForwardCustomer>();
  readonly #customerPriorities = new Map<string, number>();
  readonly #pools = new Map<string, Pool>();
  /** Shortest and longest gap objective of the routes to each pool. */
  readonly #gapsByPool = new Map<string, { shortestMs: number; longestMs: number }>();
  /** Shortest latency objective of the routes to each pool. */
  readonly #shortestTargets = new Map<string, number>();
  /** Most urgent priority of the routes to each pool. */
  readonly #firstPriorities = new Map<string, number>();

  constructor(config: FleetConfig) {
    this.config = config;
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#byHost.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.#byHost.set(host, prefixes);
      this.#addGap(route);
      this.#addPriority(route);
      this.#addTarget(route);
    }
    for (const customer of config.customers ?? []) {
      for (const key of customer.apiKeys) {
        this.#byApiKey.set(key, customer);
      }
      if (customer.priority !== undefined) {
        this.#customerPriorities.set(customer.name, customer.priority);
      }
    }
    for (const pool of config.pools) {
      this.#pools.set(pool.name, pool);
    }
  }

  /** Route of the host with the longest prefix of `path`, without its query. */
  findRoute(host: string, path: string): Route | undefined {
    const prefixes = this.#byHost.get(host.toLowerCase());
    if (!prefixes) {
      return undefined;
    }
    const query = path.indexOf("?");
    let end = (query < 0 ? path : path.slice(0, query)).lastIndexOf("/");
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** Priority of a customer that has one of its own. */
  findPriority(customer: string): number | undefined {
    return this.#customerPriorities.get(customer);
  }

  /** Regions in which any request to a host is handled; undefined when it may be anywhere. */
  getHostHomes(host: string): Homes {
    const routes = [...(this.#byHost.get(host.toLowerCase())?.values() ?? [])];
    return intersectHomes(routes.map(({ homeRegions }) => homeRegions));
  }

  /** Customer that holds an API key. */
  findCustomer(key: string): ForwardCustomer | undefined {
    return this.#byApiKey.get(key);
  }

  /**
   * Gap objectives below this are short for the pool: the middle, by ratio, between the shortest
   * and the longest that its routes declare. 0 when all are equal.
   */
  getShortGapMs(pool: string): number {
    const gaps = this.#gapsByPool.get(pool);
    return gaps && gaps.shortestMs < gaps.longestMs
      ? Math.sqrt(gaps.shortestMs * gaps.longestMs)
      : 0;
  }

  /** Distance of a priority from the most urgent one of the pool's routes, 0 for that one and above. */
  getRank(pool: string, priority: number): number {
    return Math.max(0, priority - (this.#firstPriorities.get(pool) ?? priority));
  }

  #addPriority({ priority, pools }: Route): void {
    for (const { pool } of pools) {
      const first = this.#firstPriorities.get(pool) ?? priority;
      this.#firstPriorities.set(pool, Math.min(first, priority));
    }
  }

  /** Shortest latency objective of the pool's routes, milliseconds; undefined for a pool without any. */
  getShortestTargetMs(pool: string): number | undefined {
    return this.#shortestTargets.get(pool);
  }

  #addTarget({ targetMs, pools }: Route): void {
    for (const { pool } of pools) {
      const known = this.#shortestTargets.get(pool) ?? targetMs;
      this.#shortestTargets.set(pool, Math.min(known, targetMs));
    }
  }

  #addGap({ maxGapMs, pools }: Route): void {
    if (maxGapMs === undefined) {
      return;
    }
    for (const { pool } of pools) {
      const known = this.#gapsByPool.get(pool);
      this.#gapsByPool.set(pool, {
        shortestMs: Math.min(known?.shortestMs ?? maxGapMs, maxGapMs),
        longestMs: Math.max(known?.longestMs ?? maxGapMs, maxGapMs),
      });
    }
  }

  findPool(name: string): Pool | undefined {
    return this.#pools.get(name);
  }
}
