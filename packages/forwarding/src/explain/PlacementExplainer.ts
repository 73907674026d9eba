import type { Clock } from "@lycheepulley/core";

import type { AdmissionControl } from "../AdmissionControl.js";
import type { CandidateFinder } from "../CandidateFinder.js";
import type { CostBook } from "../costs/CostBook.js";
import { estimateCallMs } from "../costs/placementCosts.js";
import type { EngineSpec, Upstream } from "../fleetConfig.js";
import type { FleetView } from "../FleetView.js";
import type { QuotaQueue } from "../limits/QuotaQueue.js";
import { isForOneUpstream, type PlacementCandidate } from "../placement.js";
import { getLatestFirstMs, type PlacementQuery } from "../placementQuery.js";
import { newPlacementRequest } from "../placementRequest.js";
import { getRequestValue } from "../requestValue.js";
import type { RoomPolicy } from "../room/RoomPolicy.js";
import type { PlacementSnapshot } from "./PlacementSnapshot.js";

/** Takes snapshots of all that decides where a request goes; sends and books nothing. */
export class PlacementExplainer {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #finder: CandidateFinder;
  readonly #costs: CostBook | undefined;
  readonly #admission: AdmissionControl;
  readonly #quotaQueue: QuotaQueue;
  readonly #room: RoomPolicy;

  constructor(options: {
    clock: Clock;
    view: FleetView;
    finder: CandidateFinder;
    costs?: CostBook | undefined;
    admission: AdmissionControl;
    quotaQueue: QuotaQueue;
    room: RoomPolicy;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#finder = options.finder;
    this.#costs = options.costs;
    this.#admission = options.admission;
    this.#quotaQueue = options.quotaQueue;
    this.#room = options.room;
  }

  async explain(query: PlacementQuery): Promise<PlacementSnapshot> {
    const { pool, req } = query;
    const engine = this.#view.table?.findPool(pool)?.engine;
    const now = this.#clock.now();
    const isPrompt = engine !== undefined && req.head.promptTokens > 0;
    const isSmall = isPrompt && isForOneUpstream(req.head.promptTokens);
    const found = isPrompt
      ? await this.#findCandidates(query, { engine, isSmall, isWhole: false })
      : await this.#finder.find(query);
    const candidates = [...found];
    const usable = getIds(this.#finder.getUsable(query));
    const base = {
      ...{ atMs: now, pool, candidates, ruledOut: this.#finder.explain(query, candidates) },
      limitedInMs: usable.length > 0 ? this.#quotaQueue.getOpenInMs(usable) : undefined,
    };
    const { targetMs } = req.route;
    if (!isPrompt) {
      return { ...base, callMs: estimateCallMs(this.#costs, req, pool), targetMs };
    }
    const { table } = this.#view;
    const request = newPlacementRequest(query, { engine, now, costs: this.#costs, table });
    const asked = { engine, request, candidates, targetMs };
    const value = getRequestValue(query, table);
    const isWorth = this.#admission.isWorth(pool, { ...asked, value });
    return {
      ...{ ...base, engine, request },
      ...(this.#room.isPromised && {
        latestFirstMs: getLatestFirstMs(request, query.deadlineAtMs - now),
      }),
      isAdmitted: candidates.length === 0 || isWorth,
    };
  }

  async #findCandidates(
    query: PlacementQuery,
    { engine, ...options }: { engine: EngineSpec; isSmall: boolean; isWhole: boolean },
  ): Promise<readonly PlacementCandidate[]> {
    const { isAsked } = this.#finder;
    const candidates = await this.#finder.find({ ...query, ...options });
    const view = { req: query.req, engine, isAsked, isWaiting: options.isWhole };
    return this.#room.addClaims(candidates, view);
  }
}

const getIds = (upstreams: readonly Upstream[]): string[] => upstreams.map(({ id }) => id);
