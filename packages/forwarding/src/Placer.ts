import { sleep, type Clock, type Random } from "@lycheepulley/core";

import { AdmissionControl, getBusyShare, getRoomMs, getWorkMs } from "./AdmissionControl.js";
import type { AnswerTimeline } from "./AnswerTimeline.js";
import type { EngineSpec, Route, Upstream } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";
import { getReadMs } from "./engineModel.js";
import { estimateValue } from "./lateness.js";
import { QuotaQueue } from "./limits/QuotaQueue.js";
import type { SendQuota } from "./limits/SendQuota.js";
import { newUpstreamLoad, type UpstreamLoad } from "./load.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { PeerLoads } from "./PeerLoads.js";
import {
  isForOneUpstream,
  pickServiceUpstream,
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "./placement.js";
import { CALL_LOAD, DEFAULT_GAP_MS, getKvTokens, getPromptLoad } from "./requestLoad.js";
import type { Homes } from "./regions.js";
import { getRetryAfterMs, REJECTED_RETRY_AFTER_MS } from "./retryAfter.js";
import { selectCandidates } from "./selectCandidates.js";
import { selectSeparate } from "./selectSeparate.js";
import type { ForwardRequest } from "./types.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** Interval at which a prompt that waits for KV memory is planned again. */
const REPLAN_INTERVAL_MS = 15;
const NO_LOADS: ReadonlyMap<string, UpstreamLoad> = new Map();

/** Upstream that one request is sent to; `plan` and `request` are set for prompts only. */
export interface Placement {
  readonly upstream: Upstream;
  readonly plan: PlacementPlan | undefined;
  readonly request: PlacementRequest | undefined;
  readonly waitedMs: number;
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
  readonly homes?: Homes;
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

type Choice = Pick<PlacementQuery, "pool" | "homes" | "excluded">;

/** Chooses upstreams for requests; a prompt waits only while no upstreams have the KV memory. */
export class Placer {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #loadTracker: LoadTracker;
  readonly #peerLoads: PeerLoads | undefined;
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
    health: UpstreamHealth;
    quota: SendQuota;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#loadTracker = options.loadTracker;
    this.#peerLoads = options.peerLoads;
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
    const loads = await this.#fetchLoads([upstreamId]);
    return (loads.get(upstreamId)?.pendingReadMs ?? 0) > 0;
  }

  /** Loads of these upstreams, or of all, as far as this process and its peers know them. */
  async #fetchLoads(upstreams: readonly string[]): Promise<ReadonlyMap<string, UpstreamLoad>> {
    const peers = this.#peerLoads;
    const fetched = peers?.isNeeded ? await peers.fetch(upstreams) : undefined;
    return fetched ?? this.#loadTracker.getLoads();
  }

  /** True when a pool has an active upstream besides the excluded ones. */
  hasAlternative({ pool, homes, excluded }: Choice): boolean {
    return this.#view
      .getAvailable(pool, homes)
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
      upstreams: this.#getUsable(query).map(({ id }) => id),
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
    const upstream = pickServiceUpstream(await this.#getCandidates(query), this.#random);
    const waitedMs = now - startMs;
    return upstream
      ? { upstream, plan: undefined, request: undefined, waitedMs, isApart: query.isApart }
      : this.#getLack(query);
  }

  /** Why there are no candidates. */
  #getLack({ pool, homes }: Choice): PlacementFailure {
    return this.#view.getAvailable(pool, homes).length > 0
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
      const candidates = await this.#getCandidates({ ...query, isSmall });
      if (candidates.length === 0) {
        return this.#getLack(query);
      }
      const shortGapMs = this.#view.table?.getShortGapMs(query.pool) ?? 0;
      const request = { ...newPlacementRequest(query, engine, now), shortGapMs };
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
        return { upstream: plan.upstream, plan, request, waitedMs: now - startMs, isApart };
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
    const busyShare = getBusyShare(candidates, query.req.route.targetMs);
    const prefillMs = getReadMs(engine, request.promptTokens);
    const isAdmitted = this.#admission.admits(query.pool, request.value, prefillMs, busyShare);
    this.#admission.record(query.pool, request.value, workMs);
    if (!isAdmitted) {
      this.#roomMs.set(query.pool, getRoomMs(candidates));
    }
    return isAdmitted;
  }

  /** Upstreams that haven't failed the request, or all when they have. */
  #getUsable({ pool, homes, excluded }: Choice): readonly Upstream[] {
    const available = this.#view.getAvailable(pool, homes);
    const untried = available.filter(({ id }) => !excluded.has(id));
    return untried.length > 0 ? untried : available;
  }

  async #getCandidates({
    isApart = false,
    isSmall = false,
    ...choice
  }: Choice & { isApart?: boolean; isSmall?: boolean }): Promise<readonly PlacementCandidate[]> {
    const open = this.#getUsable(choice).filter(({ id }) => this.#quota.isOpen(id));
    const active = this.#health.selectActive(open);
    const isAsked = this.#peerLoads?.isNeeded ?? false;
    const options = { isSmall, isAsked, random: this.#random };
    const known = isAsked ? NO_LOADS : this.#loadTracker.getLoads();
    const considered = selectCandidates(active, known, options);
    const loads = isAsked ? await this.#fetchLoads(considered.map(({ id }) => id)) : known;
    const candidates = considered.map((upstream) => ({
      upstream,
      load: loads.get(upstream.id) ?? newUpstreamLoad(),
      failureRate: this.#health.getFailureRate(upstream.id),
      avoidance: this.#quota.getAvoidance(upstream.id) + this.#view.getReturnAvoidance(upstream),
    }));
    return selectSeparate(candidates, isApart);
  }

  /** Counts a request as load of the upstream that it was sent to last, or that goes on with it. */
  recordLoad(
    { req, pool }: Pick<PlacementQuery, "req" | "pool">,
    { upstream, plan, request, isApart }: Placement,
  ): void {
    const { attemptId } = req.head;
    const isPrompt = plan !== undefined && request !== undefined;
    this.#loadTracker.setOwn({
      ...{ id: attemptId, pool, upstream: upstream.id, kvTokens: getKvTokens(req, plan) },
      ...(isApart && { isApart }),
      ...(isPrompt ? getPromptLoad(plan, request) : CALL_LOAD),
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

/** True when the caller resumes a stream of which it has events, perhaps from another process. */
const isResumed = ({ head, route }: ForwardRequest): boolean =>
  route.isResumable && head.lastEventId !== undefined;

const getGapMs = (route: Route): number => route.maxGapMs ?? DEFAULT_GAP_MS;

const newPlacementRequest = (
  { req, deadlineAtMs, timeline }: PlacementQuery,
  engine: EngineSpec,
  now: number,
): Omit<PlacementRequest, "shortGapMs"> => ({
  promptTokens: req.head.promptTokens,
  outputTokens: req.head.outputTokens,
  maxGapMs: getGapMs(req.route),
  targetLeftMs: timeline.getTargetLeftMs(now),
  deadlineLeftMs: deadlineAtMs - now - req.head.outputTokens * engine.stepMs,
  value: estimateValue(req.head.promptTokens),
});
