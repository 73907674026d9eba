import { sleep, type Clock, type Random } from "@lycheepulley/core";

import { AdmissionControl, getBusyShare, getRoomMs, getWorkMs } from "./AdmissionControl.js";
import type { AnswerTimeline } from "./AnswerTimeline.js";
import { CandidateFinder } from "./CandidateFinder.js";
import type { CostBook } from "./costs/CostBook.js";
import { estimateCallMs, getCost, type PlacementCost } from "./costs/placementCosts.js";
import type { PlacementSnapshot } from "./explain/PlacementSnapshot.js";
import type { EngineSpec, Upstream } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";
import { getReadMs } from "./engineModel.js";
import { estimateValue } from "./lateness.js";
import { QuotaQueue } from "./limits/QuotaQueue.js";
import type { SendQuota } from "./limits/SendQuota.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { PeerLoads } from "./PeerLoads.js";
import {
  isForOneUpstream,
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "./placement.js";
import { pickServiceUpstream } from "./pickServiceUpstream.js";
import { isResumed, newPlacementRequest } from "./placementRequest.js";
import { getCallLoad, getKvTokens, getPromptLoad } from "./requestLoad.js";
import { getRetryAfterMs, REJECTED_RETRY_AFTER_MS } from "./retryAfter.js";
import type { ForwardRequest } from "./types.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** Interval at which a prompt that waits for KV memory is planned again. */
const REPLAN_INTERVAL_MS = 15;

/** Upstream that one request is sent to; `plan` and `request` are set for prompts only. */
export interface Placement {
  readonly upstream: Upstream;
  readonly plan: PlacementPlan | undefined;
  readonly request: PlacementRequest | undefined;
  readonly waitedMs: number;
  readonly cost?: PlacementCost | undefined;
  /** Other requests avoid the upstream meanwhile. */
  readonly isApart: boolean;
}

/** Why a request has no placement. */
export const PlacementFailure = {
  NoUpstream: "no_upstream",
  TimeOver: "time_over",
  /** The fleet is busy, and other requests are worth more for the same work. */
  Overloaded: "overloaded",
  /** The upstreams name limits, and take no more requests in time. */
  Limited: "limited",
  Cancelled: "cancelled",
} as const;
export type PlacementFailure = (typeof PlacementFailure)[keyof typeof PlacementFailure];

/** A request to place, with the limits on the choice. */
export interface PlacementQuery {
  readonly req: ForwardRequest;
  readonly pool: string;
  /** Ids of upstreams that already failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time of the request's deadline. */
  readonly deadlineAtMs: number;
  /** Events that the caller received from earlier sends. */
  readonly timeline: AnswerTimeline;
  /** Ends the search. */
  readonly signal: AbortSignal;
  /** The request may crash its upstream, so that it should share it with few others. */
  readonly isApart: boolean;
}

/** Chooses upstreams for requests; a prompt waits only while no upstreams have the KV memory. */
export class Placer {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #loadTracker: LoadTracker;
  readonly #finder: CandidateFinder;
  readonly #costs: CostBook | undefined;
  readonly #health: UpstreamHealth;
  readonly #admission: AdmissionControl;
  readonly #quota: SendQuota;
  readonly #quotaQueue: QuotaQueue;
  /** Time after which a pool that shed a prompt was expected to have room. */
  readonly #roomMs = new Map<string, number>();

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    loadTracker: LoadTracker;
    /** Undefined where every process hears of all requests. */
    peerLoads?: PeerLoads | undefined;
    costs?: CostBook | undefined;
    health: UpstreamHealth;
    quota: SendQuota;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#loadTracker = options.loadTracker;
    this.#finder = new CandidateFinder(options);
    this.#costs = options.costs;
    this.#health = options.health;
    this.#admission = new AdmissionControl(options.clock);
    this.#quota = options.quota;
    this.#quotaQueue = new QuotaQueue(options.clock, options.quota);
  }

  /** Time after which a rejected request should find room in a pool, milliseconds; undefined when unknown. */
  getRoomMs(pool: string, reason: PlacementFailure): number | undefined {
    switch (reason) {
      case PlacementFailure.Overloaded:
        return this.#roomMs.get(pool);
      case PlacementFailure.Limited:
        return this.#quotaQueue.getOpenInMs(this.#view.getAvailable(pool).map(({ id }) => id));
      default:
        return undefined;
    }
  }

  /** Time after which a request that its upstreams turned away should come back, milliseconds. */
  getReturnMs(pool: string): number {
    const openInMs = this.getRoomMs(pool, PlacementFailure.Limited) ?? 0;
    return openInMs > 0 ? getRetryAfterMs(openInMs, this.#random) : REJECTED_RETRY_AFTER_MS;
  }

  /** True while an upstream has prompts to prefill. */
  async isPrefilling(upstreamId: string): Promise<boolean> {
    const loads = await this.#finder.fetchLoads([upstreamId]);
    return (loads.get(upstreamId)?.pendingReadMs ?? 0) > 0;
  }

  /** True when a pool has an active upstream besides the excluded ones. */
  hasAlternative({ pool, excluded }: Pick<PlacementQuery, "pool" | "excluded">): boolean {
    return this.#view
      .getAvailable(pool)
      .some(({ id }) => !excluded.has(id) && !this.#health.isEjected(id) && this.#quota.isOpen(id));
  }

  /** Resolves with a placement once there is an acceptable one, or with the reason for none. */
  async find(query: PlacementQuery): Promise<Placement | PlacementFailure> {
    const engine = this.#view.table?.findPool(query.pool)?.engine;
    const startMs = this.#clock.now();
    // The load of an earlier send of this request must not count against its next placement.
    this.#loadTracker.removeOwn(query.req.head.attemptId);
    const isPrompt = engine !== undefined && query.req.head.promptTokens > 0;
    for (let isFirst = true; ; isFirst = false) {
      const placement = isPrompt
        ? await this.#findForPrompt(query, engine, { startMs, isFirst })
        : await this.#findForCall(query, startMs);
      if (typeof placement !== "string") {
        const { id } = placement.upstream;
        // Other upstreams are considered when this one takes no more requests.
        if (!this.#quota.isLimited(id) || (await this.#quota.tryTake(id))) {
          return this.#accept(query, placement);
        }
      } else if (placement !== PlacementFailure.Limited || !(await this.#waitForQuota(query))) {
        return placement;
      }
    }
  }

  #accept(query: PlacementQuery, placement: Placement): Placement | PlacementFailure {
    if (this.#clock.now() >= query.deadlineAtMs) {
      return PlacementFailure.TimeOver;
    }
    this.recordLoad(query, placement);
    return placement;
  }

  /** Resolves with false at once when no limited upstream is expected to take the request in time. */
  #waitForQuota(query: PlacementQuery): Promise<boolean> {
    const { req, timeline, deadlineAtMs, signal } = query;
    const now = this.#clock.now();
    const hasEvents = timeline.firstMs !== undefined;
    const untilMs = hasEvents ? deadlineAtMs : now + timeline.getTargetLeftMs(now);
    return this.#quotaQueue.wait({
      upstreams: this.#finder.getUsable(query).map(({ id }) => id),
      value: estimateValue(req.head.promptTokens),
      ...{ untilMs, signal },
    });
  }

  async #findForCall(
    query: PlacementQuery,
    startMs: number,
  ): Promise<Placement | PlacementFailure> {
    const now = this.#clock.now();
    const failure = getEnd(query, now);
    if (failure) {
      return failure;
    }
    const callMs = estimateCallMs(this.#costs, query.req, query.pool);
    const candidates = await this.#finder.find(query);
    const upstream = pickServiceUpstream(candidates, this.#random, {
      ...{ callMs, targetMs: query.req.route.targetMs },
    });
    if (!upstream) {
      return this.#getLack(query.pool);
    }
    return {
      ...{ upstream, plan: undefined, request: undefined, waitedMs: now - startMs },
      ...{ cost: getCost(candidates, upstream, callMs), isApart: query.isApart },
    };
  }

  /** Why there are no candidates. */
  #getLack(pool: string): PlacementFailure {
    return this.#view.getAvailable(pool).length > 0
      ? PlacementFailure.Limited
      : PlacementFailure.NoUpstream;
  }

  async #findForPrompt(
    query: PlacementQuery,
    engine: EngineSpec,
    { startMs, isFirst }: { startMs: number; isFirst: boolean },
  ): Promise<Placement | PlacementFailure> {
    for (;;) {
      const now = this.#clock.now();
      const failure = getEnd(query, now);
      if (failure) {
        return failure;
      }
      const isSmall = isForOneUpstream(query.req.head.promptTokens);
      const candidates = await this.#finder.find({ ...query, isSmall });
      if (candidates.length === 0) {
        return this.#getLack(query.pool);
      }
      const shortGapMs = this.#view.table?.getShortGapMs(query.pool) ?? 0;
      const request = {
        ...newPlacementRequest(query, { engine, now, costs: this.#costs }),
        shortGapMs,
      };
      if (
        !this.#isAdmitted({
          query,
          engine,
          request,
          candidates,
          isFirst: isFirst && now === startMs,
        })
      ) {
        return PlacementFailure.Overloaded;
      }
      const plan = planPlacement(engine, request, candidates);
      if (plan) {
        const { isApart } = query;
        const cost = getCost(candidates, plan.upstream);
        return { upstream: plan.upstream, plan, request, waitedMs: now - startMs, cost, isApart };
      }
      await sleep(this.#clock, REPLAN_INTERVAL_MS, query.signal);
    }
  }

  /**
   * Decides once, when the prompt arrives or has to be sent again. A caller that has events of the
   * answer is let in: shedding the rest would waste what it has.
   */
  #isAdmitted(options: {
    query: PlacementQuery;
    engine: EngineSpec;
    request: PlacementRequest;
    candidates: readonly PlacementCandidate[];
    isFirst: boolean;
  }): boolean {
    const { query, engine, request, candidates, isFirst } = options;
    if (!isFirst || query.timeline.firstMs !== undefined || isResumed(query.req)) {
      return true;
    }
    const workMs = getWorkMs(engine, request);
    const isAdmitted = this.#isWorth({ query, engine, request, candidates });
    this.#admission.record(query.pool, request.value, workMs);
    if (!isAdmitted) {
      this.#roomMs.set(query.pool, getRoomMs(candidates));
    }
    return isAdmitted;
  }

  /** True when a new prompt is admitted now. */
  #isWorth(options: {
    query: PlacementQuery;
    engine: EngineSpec;
    request: PlacementRequest;
    candidates: readonly PlacementCandidate[];
  }): boolean {
    const { query, engine, request, candidates } = options;
    const busyShare = getBusyShare(candidates, query.req.route.targetMs);
    const prefillMs = getReadMs(engine, request.promptTokens);
    return this.#admission.admits(query.pool, request.value, prefillMs, busyShare);
  }

  /** Where a request would go now, and why; sends and books nothing. */
  async explain(query: PlacementQuery): Promise<PlacementSnapshot> {
    const { pool, req } = query;
    const engine = this.#view.table?.findPool(pool)?.engine;
    const now = this.#clock.now();
    const isPrompt = engine !== undefined && req.head.promptTokens > 0;
    const isSmall = isPrompt && isForOneUpstream(req.head.promptTokens);
    const candidates = [...(await this.#finder.find({ ...query, isSmall }))];
    const usable = getIds(this.#finder.getUsable(query));
    const base = {
      ...{ atMs: now, pool, candidates, ruledOut: this.#finder.explain(query, candidates) },
      limitedInMs: usable.length > 0 ? this.#quotaQueue.getOpenInMs(usable) : undefined,
    };
    if (!isPrompt) {
      const callMs = estimateCallMs(this.#costs, req, pool);
      return { ...base, callMs, targetMs: req.route.targetMs };
    }
    const shortGapMs = this.#view.table?.getShortGapMs(pool) ?? 0;
    const known = newPlacementRequest(query, { engine, now, costs: this.#costs });
    const request = { ...known, shortGapMs };
    return {
      ...{ ...base, engine, request },
      isAdmitted: candidates.length === 0 || this.#isWorth({ query, engine, request, candidates }),
    };
  }

  /** Counts a request as load of the upstream that it was sent to last, or that goes on with it. */
  recordLoad(
    { req, pool }: Pick<PlacementQuery, "req" | "pool">,
    { upstream, plan, request, cost, isApart }: Placement,
  ): void {
    const { attemptId } = req.head;
    const isPrompt = plan !== undefined && request !== undefined;
    this.#loadTracker.setOwn({
      ...{ id: attemptId, pool, upstream: upstream.id },
      kvTokens: getKvTokens(req, plan, request),
      ...(isApart && { isApart }),
      ...(isPrompt ? getPromptLoad(plan, request) : getCallLoad(cost)),
    });
  }
}

/** Why a search ends without a look at the upstreams; undefined while it goes on. */
const getEnd = (
  { deadlineAtMs, signal }: PlacementQuery,
  now: number,
): PlacementFailure | undefined => {
  if (signal.aborted) {
    return PlacementFailure.Cancelled;
  }
  return now >= deadlineAtMs ? PlacementFailure.TimeOver : undefined;
};

const getIds = (upstreams: readonly Upstream[]): string[] => upstreams.map(({ id }) => id);
