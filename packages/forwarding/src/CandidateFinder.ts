import type { Random } from "@lycheepulley/core";

import type { CostBook } from "./costs/CostBook.js";
import { applyPace } from "./costs/placementCosts.js";
import {
  addCrossingCost,
  areOld,
  getCrossingCost,
  type CrossingRequest,
} from "./distance/crossing.js";
import type { Upstream } from "./fleetConfig.js";
import { RuledOutReason, type RuledOut } from "./explain/PlacementSnapshot.js";
import type { FleetView } from "./FleetView.js";
import type { SendQuota } from "./limits/SendQuota.js";
import type { Homes } from "./regions.js";
import { newUpstreamLoad, type UpstreamLoad } from "./load.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { PeerLoads } from "./PeerLoads.js";
import type { PlacementCandidate } from "./placement.js";
import { selectCandidates } from "./selectCandidates.js";
import { selectSeparate } from "./selectSeparate.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

const NO_LOADS: ReadonlyMap<string, UpstreamLoad> = new Map();

/** Which upstreams a request may go to. */
export interface CandidateQuery {
  readonly pool: string;
  readonly homes?: Homes;
  /** Ids of upstreams that already failed the request. */
  readonly excluded: ReadonlySet<string>;
  /** The request itself, to weigh its crossing of failure domains. */
  readonly req?: CrossingRequest;
  /** The request may crash its upstream. */
  readonly isApart?: boolean;
  /** The prompt isn't worth a second upstream. */
  readonly isSmall?: boolean;
  /** All upstreams are candidates, as far as their loads are known here. */
  readonly isWhole?: boolean;
}

/** Finds the upstreams that may take a request, with what is known of their load and pace. */
export class CandidateFinder {
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #loadTracker: LoadTracker;
  readonly #peerLoads: PeerLoads | undefined;
  readonly #costs: CostBook | undefined;
  readonly #nearDomain: string | undefined;
  readonly #health: UpstreamHealth;
  readonly #quota: SendQuota;

  constructor(options: {
    random: Random;
    view: FleetView;
    loadTracker: LoadTracker;
    /** Undefined where every process hears of all requests. */
    peerLoads?: PeerLoads | undefined;
    costs?: CostBook | undefined;
    /** Failure domain whose upstreams are near; undefined where distance doesn't count. */
    nearDomain?: string | undefined;
    health: UpstreamHealth;
    quota: SendQuota;
  }) {
    this.#random = options.random;
    this.#view = options.view;
    this.#loadTracker = options.loadTracker;
    this.#peerLoads = options.peerLoads;
    this.#costs = options.costs;
    this.#nearDomain = options.nearDomain;
    this.#health = options.health;
    this.#quota = options.quota;
  }

  /** Loads of these upstreams, or of all, as far as this process and its peers know them. */
  async fetchLoads(upstreams: readonly string[]): Promise<ReadonlyMap<string, UpstreamLoad>> {
    const peers = this.#peerLoads;
    const fetched = peers?.isNeeded ? await peers.fetch(upstreams) : undefined;
    return fetched ?? this.#loadTracker.getLoads();
  }

  /** Upstreams that haven't failed the request, or all when they have. */
  getUsable({
    pool,
    homes,
    excluded,
  }: Pick<CandidateQuery, "pool" | "homes" | "excluded">): readonly Upstream[] {
    const available = this.#view.getAvailable(pool, homes);
    const untried = available.filter(({ id }) => !excluded.has(id));
    return untried.length > 0 ? untried : available;
  }

  /** True while this process asks a peer for loads, as it doesn't know the requests of all. */
  get isAsked(): boolean {
    return this.#peerLoads?.isNeeded ?? false;
  }

  async find(query: CandidateQuery): Promise<readonly PlacementCandidate[]> {
    const { isApart = false, isSmall = false, isWhole = false } = query;
    const open = this.getUsable(query).filter(({ id }) => this.#quota.isOpen(id));
    const active = this.#health.selectActive(open);
    const { isAsked } = this;
    const known = isAsked ? NO_LOADS : this.#loadTracker.getLoads();
    const isWeighed = !isLong(query) && !areOld(active, known);
    const nearDomain = isWeighed ? this.#nearDomain : undefined;
    const options = { isSmall, isAsked, random: this.#random, nearDomain };
    const considered = isWhole && !isAsked ? active : selectCandidates(active, known, options);
    const loads = isAsked ? await this.fetchLoads(considered.map(({ id }) => id)) : known;
    const candidates = considered.map((upstream) => ({
      upstream,
      ...applyPace(this.#costs, upstream, loads.get(upstream.id) ?? newUpstreamLoad()),
      failureRate: this.#health.getFailureRate(upstream.id),
      avoidance: this.#quota.getAvoidance(upstream.id) + this.#view.getReturnAvoidance(upstream),
    }));
    return selectSeparate(
      nearDomain === undefined || areOld(considered, loads)
        ? candidates
        : this.#weighCrossing(candidates, nearDomain, query),
      isApart,
    );
  }

  #weighCrossing(
    candidates: readonly PlacementCandidate[],
    nearDomain: string,
    { pool, req }: CandidateQuery,
  ): readonly PlacementCandidate[] {
    if (!req) {
      return candidates;
    }
    const cost = getCrossingCost(req, this.#view.table?.findPool(pool)?.engine);
    return addCrossingCost(candidates, nearDomain, cost);
  }

  /** Why the other upstreams of the pool are no candidates. */
  explain(
    { pool, homes, excluded }: CandidateQuery,
    candidates: readonly PlacementCandidate[],
  ): RuledOut[] {
    const chosen = new Set(candidates.map(({ upstream }) => upstream.id));
    const available = new Set(this.#view.getAvailable(pool, homes).map(({ id }) => id));
    const getReason = (id: string): RuledOutReason => {
      if (!available.has(id)) {
        return RuledOutReason.Unavailable;
      }
      if (excluded.has(id)) {
        return RuledOutReason.Failed;
      }
      if (!this.#quota.isOpen(id)) {
        return this.#quota.isResting(id) ? RuledOutReason.Resting : RuledOutReason.Limited;
      }
      return this.#health.isEjected(id) ? RuledOutReason.Ejected : RuledOutReason.NotCompared;
    };
    return [...this.#view.upstreams.values()]
      .filter((upstream) => upstream.pool === pool && !chosen.has(upstream.id))
      .map(({ id }) => ({ upstream: id, reason: getReason(id) }));
  }
}

/** True for a prompt for several upstreams: its time is worth more than the crossing of its bytes. */
const isLong = ({ req, isSmall = false }: CandidateQuery): boolean =>
  !isSmall && req !== undefined && req.head.promptTokens > 0;
