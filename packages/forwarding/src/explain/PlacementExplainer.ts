import type { Clock } from "@lycheepulley/core";

import type { CandidateFinder } from "../CandidateFinder.js";
import type { CostBook } from "../costs/CostBook.js";
import { estimateCallMs } from "../costs/placementCosts.js";
import { planNear } from "../distance/preferNear.js";
import type { EngineSpec } from "../fleetConfig.js";
import type { FleetView } from "../FleetView.js";
import type { QuotaQueue } from "../limits/QuotaQueue.js";
import { newQuotaWait } from "../limits/quotaWait.js";
import type { SendQuota } from "../limits/SendQuota.js";
import type { LoadTracker } from "../LoadTracker.js";
import { isForOneUpstream, type PlacementCandidate } from "../placement.js";
import { getLatestFirstMs, isRejectable, type PlacementQuery } from "../placementQuery.js";
import { newPlacementRequest } from "../placementRequest.js";
import type { PromptAdmission } from "../PromptAdmission.js";
import type { RoomPolicy } from "../room/RoomPolicy.js";
import type { PlacementSnapshot } from "./PlacementSnapshot.js";

/** Takes snapshots of all that decides where a request goes; sends and books nothing. */
export class PlacementExplainer {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #finder: CandidateFinder;
  readonly #costs: CostBook | undefined;
  readonly #admission: PromptAdmission;
  readonly #loadTracker: LoadTracker;
  readonly #quota: SendQuota;
  readonly #quotaQueue: QuotaQueue;
  readonly #room: RoomPolicy;

  constructor(options: {
    clock: Clock;
    view: FleetView;
    finder: CandidateFinder;
    costs?: CostBook | undefined;
    admission: PromptAdmission;
    loadTracker: LoadTracker;
    quota: SendQuota;
    quotaQueue: QuotaQueue;
    room: RoomPolicy;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#finder = options.finder;
    this.#costs = options.costs;
    this.#admission = options.admission;
    this.#loadTracker = options.loadTracker;
    this.#quota = options.quota;
    this.#quotaQueue = options.quotaQueue;
    this.#room = options.room;
  }

  async explain(query: PlacementQuery): Promise<PlacementSnapshot> {
    const { pool, req } = query;
    const engine = this.#view.table?.findPool(pool)?.engine;
    const now = this.#clock.now();
    const isPrompt = engine !== undefined && req.head.promptTokens > 0;
    const found = isPrompt
      ? await this.#findCandidates(query, engine, { isWhole: false })
      : await this.#finder.find(query);
    const candidates = this.#addEvidence(found);
    const base = {
      loadAgeMs: this.#loadTracker.ageMs,
      ...{ atMs: now, pool, candidates, ruledOut: this.#finder.explain(query, candidates) },
      limits: this.#getLimits(query, now),
    };
    const { targetMs } = req.route;
    if (!isPrompt) {
      return { ...base, callMs: estimateCallMs(this.#costs, req, pool), targetMs };
    }
    const { table } = this.#view;
    const request = newPlacementRequest(query, { engine, now, costs: this.#costs, table });
    const isWorth = this.#admission.admits({ query, engine, request, candidates });
    const deadlineLeftMs = query.deadlineAtMs - now;
    const mayReject = isRejectable(query);
    const hasPlan = planNear(engine, request, candidates) !== undefined;
    const needsRoom = this.#room.isPromised && candidates.length > 0 && !hasPlan;
    return {
      ...{ ...base, engine, request },
      ...(this.#room.isPromised &&
        mayReject && { latestFirstMs: getLatestFirstMs(request, deadlineLeftMs) }),
      isAdmitted: candidates.length === 0 || !mayReject || isWorth,
      ...(needsRoom && { room: await this.#getRoom(query, engine, deadlineLeftMs) }),
    };
  }

  /** Says how well the paces of candidates are known. */
  #addEvidence(
    candidates: readonly PlacementCandidate[],
  ): (PlacementCandidate & { paceSeen?: number })[] {
    return candidates.map((candidate) => ({
      ...candidate,
      ...(this.#costs && { paceSeen: this.#costs.paces.getWeight(candidate.upstream.id) }),
    }));
  }

  /** What decides once no upstream of the first look has the memory. */
  async #getRoom(
    query: PlacementQuery,
    engine: EngineSpec,
    deadlineLeftMs: number,
  ): Promise<PlacementSnapshot["room"]> {
    const { req, pool, homes } = query;
    const found = await this.#findCandidates(query, engine, { isWhole: true });
    const candidates = this.#addEvidence(found);
    const standing = this.#room.getStanding(req, candidates);
    return (
      standing && {
        ...{ candidates, upstreams: this.#view.getAvailable(pool, homes).length, deadlineLeftMs },
        ...{ mayReject: isRejectable(query), targetMs: req.route.targetMs },
        ...{ standing, mayPromise: this.#room.mayPromise },
      }
    );
  }

  #getLimits(query: PlacementQuery, now: number): PlacementSnapshot["limits"] {
    const usable = this.#finder.getUsable(query);
    if (usable.length === 0) {
      return undefined;
    }
    const wait = newQuotaWait(query, usable, { now, table: this.#view.table });
    const available = this.#view.getAvailable(query.pool).map(({ id }) => id);
    return {
      upstreams: wait.upstreams.filter((id) => this.#quota.isLimited(id)),
      returnInMs: this.#quotaQueue.getOpenInMs(available),
      openInMs: this.#quotaQueue.getOpenInMs(wait.upstreams),
      isWaited: this.#quotaQueue.admits(wait),
    };
  }

  async #findCandidates(
    query: PlacementQuery,
    engine: EngineSpec,
    { isWhole }: { isWhole: boolean },
  ): Promise<readonly PlacementCandidate[]> {
    const { isAsked } = this.#finder;
    const { req } = query;
    const isSmall = isForOneUpstream(req.head.promptTokens);
    const candidates = await this.#finder.find({ ...query, isSmall, isWhole });
    return this.#room.addClaims(candidates, { req, engine, isAsked, isWaiting: isWhole });
  }
}
