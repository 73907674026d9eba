import { createHash } from "node:crypto";

import { SystemClock, type Clock } from "@lycheepulley/core";

import {
  getListedFields,
  type FleetConfig,
  type Upstream,
  type UpstreamList,
} from "./fleetConfig.js";
import type { ListCorrections } from "./DepartedUpstreams.js";
import { isHome, type Homes, type Regions } from "./regions.js";
import { RouteTable } from "./RouteTable.js";
import { isListBefore, type ListPosition } from "./sources/listPosition.js";

/** Ids of upstreams that a list added, and of those that it removed or that began to drain. */
export interface ListChange {
  readonly joined: readonly string[];
  readonly left: readonly string[];
}

/** Upstreams remembered that said themselves that they leave, which their ids outlast by far. */
const MAX_LEAVING = 4_096;

/** Time after an evacuation within which the work of a failure domain returns. */
const RETURN_MS = 4_000;

const NO_CORRECTIONS: ListCorrections = { heldBack: new Set(), leaving: new Set() };

/** Configuration and upstreams in force at this process. */
export class FleetView {
  readonly #clock: Clock;
  readonly #regions: Regions;
  #table: RouteTable | undefined;
  #upstreams = new Map<string, Upstream>();
  #byPool = new Map<string, readonly Upstream[]>();
  #list: UpstreamList = { version: -1, upstreams: [] };
  #listedMs = 0;
  #listDigest = "";
  #isProvisional = false;
  #evacuated: ReadonlySet<string> = new Set();
  readonly #takenBackMs = new Map<string, number>();
  /** Upstreams that said in answers that they leave; the newest last. An id is never used again. */
  readonly #saidLeaving = new Set<string>();

  constructor(clock: Clock = new SystemClock(), regions: Regions = new Map()) {
    this.#clock = clock;
    this.#regions = regions;
  }

  /** Route table of the configuration in force; undefined before one is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** True once a configuration and a list of upstreams are known. */
  get isKnown(): boolean {
    return this.#table !== undefined && this.#list.version >= 0;
  }

  get revision(): number {
    return this.#table?.config.revision ?? -1;
  }

  /** Newest list of upstreams; its version is -1 before one is known. */
  get list(): UpstreamList {
    return this.#list;
  }

  /** Monotonic time at which the newest list was current. */
  get listedMs(): number {
    return this.#listedMs;
  }

  /** Digest of the entries of the newest list, independent of their order. */
  get listDigest(): string {
    return this.#listDigest;
  }

  get upstreams(): ReadonlyMap<string, Upstream> {
    return this.#upstreams;
  }

  /** True while upstreams are in use that the newest list lacks, or listed ones are held back. */
  get isProvisional(): boolean {
    return this.#isProvisional;
  }

  /** Puts a configuration in force; false when the one in force is as new or newer. */
  applyConfig(config: FleetConfig): boolean {
    if (config.revision <= this.revision) {
      return false;
    }
    this.#table = new RouteTable(config);
    return true;
  }

  /**
   * Applies a list of upstreams unless it is older than the one in force, and
   * returns what changed. `retained` are upstreams that stay in use even if the list lacks them;
   * `corrections` apply to those that it has.
   */
  applyUpstreams(
    list: UpstreamList,
    nowMs: number,
    retained: ReadonlySet<string>,
    { heldBack, leaving }: ListCorrections = NO_CORRECTIONS,
  ): ListChange {
    if (isListBefore(list, this.#list)) {
      return { joined: [], left: [] };
    }
    const listed = new Set(list.upstreams.map(({ id }) => id));
    const unlisted = [...this.#upstreams.values()].filter(
      ({ id }) => !listed.has(id) && retained.has(id),
    );
    const usable = list.upstreams
      .filter(({ id }) => !heldBack.has(id))
      .map((upstream) => (leaving.has(upstream.id) ? { ...upstream, isLeaving: true } : upstream));
    const next = new Map([...unlisted, ...usable].map((upstream) => [upstream.id, upstream]));
    this.#isProvisional = unlisted.length > 0 || usable.length < list.upstreams.length;
    const change = {
      joined: [...next.keys()].filter((id) => !this.#upstreams.has(id)),
      left: [...this.#upstreams.values()]
        .filter(({ id, isLeaving }) => !isLeaving && (next.get(id)?.isLeaving ?? true))
        .map(({ id }) => id),
    };
    this.#upstreams = next;
    this.#byPool = groupByPool(next.values());
    this.#list = list;
    this.#listedMs = nowMs;
    this.#listDigest = getDigest(list);
    return change;
  }

  /**
   * Records that an upstream said in an answer that it leaves, whatever lists say of it; false when that
   * is known.
   */
  recordLeaving(id: string): boolean {
    if (this.#saidLeaving.has(id)) {
      return false;
    }
    this.#saidLeaving.add(id);
    const [oldest] = this.#saidLeaving;
    if (this.#saidLeaving.size > MAX_LEAVING && oldest !== undefined) {
      this.#saidLeaving.delete(oldest);
    }
    return !(this.#upstreams.get(id)?.isLeaving ?? false);
  }

  /** Forgets what an upstream said of leaving before it started again under its id. */
  forgetLeaving(id: string): void {
    this.#saidLeaving.delete(id);
  }

  /** Records that the list in force is still current at `position`. */
  confirmList({ generation, epoch, version }: ListPosition, atMs: number): void {
    if (isListBefore(this.#list, { generation, epoch, version })) {
      this.#list = { ...this.#list, generation, epoch, version };
    }
    this.#listedMs = Math.max(this.#listedMs, atMs);
  }

  /** Sets the failure domains to which nothing new is sent. */
  setEvacuated(domains: ReadonlySet<string>): void {
    const nowMs = this.#clock.now();
    for (const domain of this.#evacuated) {
      if (!domains.has(domain)) {
        this.#takenBackMs.set(domain, nowMs);
      }
    }
    for (const [domain, takenBackMs] of this.#takenBackMs) {
      if (domains.has(domain) || nowMs - takenBackMs >= RETURN_MS) {
        this.#takenBackMs.delete(domain);
      }
    }
    this.#evacuated = domains;
  }

  /** True for an upstream in a failure domain that is evacuated. */
  isEvacuated({ failureDomain }: Pick<Upstream, "failureDomain">): boolean {
    return this.#evacuated.has(failureDomain);
  }

  /**
   * How much to avoid an upstream whose domain was evacuated until shortly before, from 1 at once
   * after it to 0: its work returns gradually.
   */
  getReturnAvoidance({ failureDomain }: Pick<Upstream, "failureDomain">): number {
    const takenBackMs = this.#takenBackMs.get(failureDomain) ?? -Infinity;
    return Math.max(0, 1 - (this.#clock.now() - takenBackMs) / RETURN_MS);
  }

  /** Time since an evacuation of the upstream's failure domain was taken back; Infinity for none. */
  getReturnedMs(id: string): number {
    const takenBackMs = this.#takenBackMs.get(this.#upstreams.get(id)?.failureDomain ?? "");
    return takenBackMs === undefined ? Infinity : this.#clock.now() - takenBackMs;
  }

  /** Regions in which any request to a host is handled; undefined when it may be anywhere. */
  getHostHomes(host: string): Homes {
    return this.#table?.getHostHomes(host);
  }

  /** True when a failure domain is in one of these regions. */
  isHome(homes: Homes, failureDomain: string): boolean {
    return isHome(homes, this.#regions, failureDomain);
  }

  /** Upstreams of a pool that accept new requests with these homes. */
  getAvailable(pool: string, homes?: Homes): readonly Upstream[] {
    return (this.#byPool.get(pool) ?? []).filter(
      ({ id, isLeaving, failureDomain }) =>
        !isLeaving &&
        !this.#saidLeaving.has(id) &&
        !this.#evacuated.has(failureDomain) &&
        this.isHome(homes, failureDomain),
    );
  }
}

const getDigest = ({ upstreams }: UpstreamList): string => {
  const sorted = [...upstreams].sort((a, b) => (a.id < b.id ? -1 : 1));
  return createHash("sha1")
    .update(JSON.stringify(sorted.map(getListedFields)))
    .digest("base64");
};

const groupByPool = (upstreams: Iterable<Upstream>): Map<string, Upstream[]> => {
  const byPool = new Map<string, Upstream[]>();
  for (const upstream of upstreams) {
    const pool = byPool.get(upstream.pool) ?? [];
    pool.push(upstream);
    byPool.set(upstream.pool, pool);
  }
  return byPool;
};
