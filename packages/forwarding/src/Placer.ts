import { ProcessLifecycle, sleep, type Clock, type Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { CandidateFinder } from "./CandidateFinder.js";
import type { CostBook } from "./costs/CostBook.js";
import { estimateCallMs, getCost } from "./costs/placementCosts.js";
import { pickNear, planNear } from "./distance/preferNear.js";
import { PlacementExplainer } from "./explain/PlacementExplainer.js";
import type { PlacementSnapshot } from "./explain/PlacementSnapshot.js";
import type { EngineSpec } from "./fleetConfig.js";
import { SendResult } from "./outcomes.js";
import type { FleetView } from "./FleetView.js";
import { QuotaQueue } from "./limits/QuotaQueue.js";
import { newQuotaWait } from "./limits/quotaWait.js";
import type { SendQuota } from "./limits/SendQuota.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { PeerLoads } from "./PeerLoads.js";
import { isForOneUpstream, type PlacementCandidate, type PlacementPlan } from "./placement.js";
import {
  getEnd,
  isRejectable,
  PlacementFailure,
  type Placement,
  type PlacementQuery,
} from "./placementQuery.js";
import { PromptAdmission, type Sharing } from "./PromptAdmission.js";
import { newPlacementRequest } from "./placementRequest.js";
import { getCallLoad, getKvTokens, getPromptLoad } from "./requestLoad.js";
import { getRetryAfterMs, LEAVING_RETRY_AFTER_MS, REJECTED_RETRY_AFTER_MS } from "./retryAfter.js";
import type { AskedPrompt } from "./room/decisions.js";
import { mayHold } from "./room/findRoom.js";
import { getCustomerKey } from "./shares/customerKey.js";
import { RoomBook } from "./room/RoomBook.js";
import { FreeForAll, type RoomPolicy } from "./room/RoomPolicy.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

export * from "./placementQuery.js";

type Choice = Pick<PlacementQuery, "pool" | "homes" | "excluded">;

/** Failures of a process that ends soon, which another process needn't meet. */
const ENDED_BY_LEAVING: ReadonlySet<string> = new Set([
  PlacementFailure.Leaving,
  PlacementFailure.NoRoom,
  PlacementFailure.TooLate,
]);

/** Chooses upstreams for requests; a prompt waits only while no upstreams have the KV memory. */
export class Placer {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #loadTracker: LoadTracker;
  readonly #finder: CandidateFinder;
  readonly #costs: CostBook | undefined;
  readonly #health: UpstreamHealth;
  readonly #admission: PromptAdmission;
  readonly #sharing: Sharing | undefined;
  readonly #quota: SendQuota;
  readonly #quotaQueue: QuotaQueue;
  readonly #explainer: PlacementExplainer;
  readonly #lifecycle: ProcessLifecycle;
  /** Prompts that wait for KV memory. */
  readonly room: RoomPolicy;

  constructor(options: {
    clock: Clock;
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
    logger: Logger;
    /** Undefined where customers have no shares. */
    sharing?: Sharing | undefined;
    /** Prompts that wait for KV memory are promised it; false by default. */
    promisesRoom?: boolean | undefined;
    lifecycle?: ProcessLifecycle | undefined;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#loadTracker = options.loadTracker;
    this.#finder = new CandidateFinder(options);
    this.#costs = options.costs;
    this.#health = options.health;
    this.#admission = new PromptAdmission(options);
    this.#sharing = options.sharing;
    this.#lifecycle = options.lifecycle ?? new ProcessLifecycle();
    this.#quota = options.quota;
    this.#quotaQueue = new QuotaQueue(options.clock, options.quota);
    this.room = options.promisesRoom ? new RoomBook(options) : new FreeForAll();
    this.#explainer = new PlacementExplainer({
      ...{ ...options, finder: this.#finder, admission: this.#admission },
      ...{ quotaQueue: this.#quotaQueue, room: this.room },
    });
  }

  /** Time after which a request without a placement should come back, milliseconds. */
  getRetryMs({ req, pool }: Pick<PlacementQuery, "req" | "pool">, reason: string): number {
    if (this.#lifecycle.isLeaving && ENDED_BY_LEAVING.has(reason)) {
      return LEAVING_RETRY_AFTER_MS;
    }
    switch (reason) {
      case PlacementFailure.Overloaded:
      case PlacementFailure.OverShare:
      case PlacementFailure.TooLate:
        return this.#admission.getRetryMs({ req, pool }, this.#random);
      case PlacementFailure.Limited:
        return getRetryAfterMs(this.#getOpenInMs(pool), this.#random);
      case PlacementFailure.NoRoom:
        return this.room.getRetryMs(req, this.#random);
      default:
        return getRetryAfterMs(undefined, this.#random);
    }
  }

  /** Time after which a request whose last send had this result should come back, milliseconds. */
  getReturnMs(pool: string, result: SendResult): number {
    if (result === SendResult.Leaving) {
      return LEAVING_RETRY_AFTER_MS;
    }
    const openInMs = this.#getOpenInMs(pool);
    return openInMs > 0 ? getRetryAfterMs(openInMs, this.#random) : REJECTED_RETRY_AFTER_MS;
  }

  #getOpenInMs(pool: string): number {
    return this.#quotaQueue.getOpenInMs(this.#view.getAvailable(pool).map(({ id }) => id)) ?? 0;
  }

  /** True while an upstream has prompts to prefill. */
  async isPrefilling(upstreamId: string): Promise<boolean> {
    const loads = await this.#finder.fetchLoads([upstreamId]);
    return (loads.get(upstreamId)?.pendingReadMs ?? 0) > 0;
  }

  /** True when a pool has an active upstream besides the excluded ones. */
  hasAlternative({ pool, homes, excluded }: Choice): boolean {
    return this.#view
      .getAvailable(pool, homes)
      .some(({ id }) => !excluded.has(id) && !this.#health.isEjected(id) && this.#quota.isOpen(id));
  }

  /** Resolves with a placement once there is an acceptable one, or with the reason for none. */
  async find(query: PlacementQuery): Promise<Placement | PlacementFailure> {
    let placement: Placement | PlacementFailure = PlacementFailure.NoUpstream;
    try {
      placement = await this.#search(query);
    } finally {
      this.room.end(query.req, typeof placement !== "string");
    }
    return placement;
  }

  async #search(query: PlacementQuery): Promise<Placement | PlacementFailure> {
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
    const now = this.#clock.now();
    const { table } = this.#view;
    const usable = this.#finder.getUsable(query);
    return this.#quotaQueue.wait(newQuotaWait(query, usable, { now, table }));
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
    const upstream = pickNear(candidates, this.#random, {
      ...{ callMs, targetMs: query.req.route.targetMs },
    });
    if (!upstream) {
      return this.#getLack(query);
    }
    return {
      ...{ upstream, plan: undefined, request: undefined, waitedMs: now - startMs },
      ...{ cost: getCost(candidates, upstream, callMs), isApart: query.isApart },
    };
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
    const mayReject = isRejectable(query);
    const { isPromised } = this.room;
    const isSmall = isForOneUpstream(query.req.head.promptTokens);
    let isNew = isFirst && mayReject;
    // All upstreams are looked at before a prompt is promised room.
    for (let isWhole = isPromised && !isFirst; ; isWhole = isPromised) {
      const now = this.#clock.now();
      const failure = getEnd(query, now);
      const candidates = failure
        ? []
        : await this.#findCandidates(query, { engine, isSmall, isWhole });
      if (candidates.length === 0) {
        return failure ?? this.#getLack(query);
      }
      const deadlineAtMs = Math.min(query.deadlineAtMs, this.#lifecycle.endAtMs);
      const { table } = this.#view;
      const costs = this.#costs;
      const request = newPlacementRequest(
        { ...query, deadlineAtMs },
        { engine, now, costs, table },
      );
      const { req, pool, isApart } = query;
      const deadlineLeftMs = deadlineAtMs - now;
      const prompt = { query, engine, request, candidates };
      const rejection = isNew ? this.#admission.decide(prompt) : undefined;
      if (rejection) {
        return rejection;
      }
      const asked = { req, pool, engine, request, candidates };
      const plan = this.#plan(asked, { isNew });
      if (plan) {
        const cost = getCost(candidates, plan.upstream);
        const placed = { upstream: plan.upstream, plan, request, waitedMs: now - startMs };
        return !isNew || this.room.accepts(plan, request, deadlineLeftMs)
          ? { ...placed, cost, isApart, share: this.#admission.getShare(req) }
          : this.#admission.shedLate(prompt);
      }
      isNew = false;
      if (isWhole || !isPromised) {
        const upstreams = this.#view.getAvailable(pool, query.homes).length;
        const { targetMs } = req.route;
        const bounds = { upstreams, deadlineLeftMs, mayReject, targetMs };
        const cause = this.room.decide({ ...asked, ...bounds });
        if (cause) {
          return cause;
        }
        await sleep(this.#clock, this.room.getReplanMs(req), query.signal);
      }
    }
  }

  /** The plan of a prompt; one that waits lacks the memory most times, which is known sooner than by plans. */
  #plan(asked: AskedPrompt, { isNew }: { isNew: boolean }): PlacementPlan | undefined {
    const { engine, request, candidates } = asked;
    const mayFit = isNew || mayHold(engine, request, candidates);
    return this.room.awaitTurn(asked, mayFit ? planNear(engine, request, candidates) : undefined);
  }

  async #findCandidates(
    query: PlacementQuery,
    { engine, ...options }: { engine: EngineSpec; isSmall: boolean; isWhole: boolean },
  ): Promise<readonly PlacementCandidate[]> {
    const { isAsked } = this.#finder;
    const candidates = await this.#finder.find({ ...query, ...options });
    const { req } = query;
    return this.room.addClaims(candidates, { req, engine, isAsked, isWaiting: options.isWhole });
  }

  /** Where a request would go now, and why; sends and books nothing. */
  explain(query: PlacementQuery): Promise<PlacementSnapshot> {
    return this.#explainer.explain(query);
  }

  /** Counts a request as load of the upstream that it was sent to last, or that goes on with it. */
  recordLoad(
    { req, pool }: Pick<PlacementQuery, "req" | "pool">,
    { upstream, plan, request, cost, isApart }: Placement,
  ): void {
    const { attemptId } = req.head;
    const isPrompt = plan !== undefined && request !== undefined;
    const { customer } = req;
    this.#loadTracker.setOwn({
      ...{ id: attemptId, pool, upstream: upstream.id },
      kvTokens: getKvTokens(req, plan, request),
      ...(isApart && { isApart }),
      ...(this.#sharing && customer !== undefined && { customer: getCustomerKey(customer) }),
      ...(isPrompt ? getPromptLoad(plan, request) : getCallLoad(cost)),
    });
  }
}
