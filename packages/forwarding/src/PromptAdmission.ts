import type { Clock, Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { AdmissionControl, getBusyShare, getRoomMs, getWorkMs } from "./AdmissionControl.js";
import type { FleetView } from "./FleetView.js";
import { getReadMs } from "./engineModel.js";
import type { EngineSpec } from "./fleetConfig.js";
import type { PlacementCandidate, PlacementRequest } from "./placement.js";
import type { LoadTracker } from "./LoadTracker.js";
import { PlacementFailure, type PlacementQuery } from "./placementQuery.js";
import { getRequestValue } from "./requestValue.js";
import { getRetryAfterMs } from "./retryAfter.js";
import {
  CustomerShares,
  isContended,
  type PoolPressure,
  type ShareState,
} from "./shares/CustomerShares.js";
import { ReturnBook, type Appointment } from "./shares/ReturnBook.js";
import type { ForwardRequest } from "./types.js";

/** A prompt, and the upstreams that it may use. */
export interface OfferedPrompt {
  readonly query: PlacementQuery;
  readonly engine: EngineSpec;
  readonly request: PlacementRequest;
  readonly candidates: readonly PlacementCandidate[];
}

const NOT_CONTENDED: Pick<ShareState, "weight" | "relief" | "isAbove"> = {
  ...{ weight: 1, relief: 1, isAbove: false },
};

interface Verdict {
  readonly isAdmitted: boolean;
  /** Undefined while the pool isn't contended. */
  readonly share?: ShareState | undefined;
  /** Undefined for a newcomer. */
  readonly appointment?: Appointment | undefined;
}

/** Shares of customers, and the order in which rejected callers return. */
export interface Sharing {
  readonly shares: CustomerShares;
  readonly returns: ReturnBook;
}

/** Sharing as this process knows it from the load items of all. */
export const newSharing = (options: {
  clock: Clock;
  view: FleetView;
  loadTracker: LoadTracker;
}): Sharing => ({ shares: new CustomerShares(options), returns: new ReturnBook(options) });

/** Decides which new prompts are let in under load, and when the callers of others come back. */
export class PromptAdmission {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #admission: AdmissionControl;
  readonly #sharing: Sharing | undefined;
  /** Time after which a pool that shed a prompt was expected to have room. */
  readonly #roomMs = new Map<string, number>();
  readonly #retryMs = new WeakMap<ForwardRequest, number>();
  readonly #shares = new WeakMap<ForwardRequest, ShareState>();

  /** Without `sharing` customers aren't told apart. */
  constructor(options: {
    clock: Clock;
    view: FleetView;
    logger: Logger;
    sharing?: Sharing | undefined;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#admission = new AdmissionControl(options.clock);
    this.#sharing = options.sharing;
  }

  /** Time after which a prompt rejected for its work should come back, milliseconds. */
  getRetryMs({ req, pool }: Pick<PlacementQuery, "req" | "pool">, random: Random): number {
    return this.#retryMs.get(req) ?? getRetryAfterMs(this.#roomMs.get(pool), random);
  }

  /** Decides once, when the prompt arrives; undefined for one that is let in. */
  decide(asked: OfferedPrompt): PlacementFailure | undefined {
    const { query, engine, request } = asked;
    const verdict = this.#judge(asked);
    const value = getRequestValue(query, this.#view.table);
    this.#admission.record(query.pool, value, getWorkMs(engine, request));
    if (verdict.share) {
      this.#shares.set(query.req, verdict.share);
    }
    if (verdict.isAdmitted) {
      this.#sharing?.returns.take(query.req);
      return undefined;
    }
    const reason = verdict.share?.isAbove
      ? PlacementFailure.OverShare
      : PlacementFailure.Overloaded;
    return this.#shed(asked, reason, verdict);
  }

  /** Notes that a prompt's first event would come too late; returns that. */
  shedLate(asked: OfferedPrompt): PlacementFailure {
    return this.#shed(asked, PlacementFailure.TooLate, this.#judge(asked));
  }

  /** Share of a request's customer when it arrived; undefined unless the pool was contended. */
  getShare(req: ForwardRequest): ShareState | undefined {
    return this.#shares.get(req);
  }

  /** True when a new prompt is let in now. */
  admits(asked: OfferedPrompt): boolean {
    return this.#judge(asked).isAdmitted;
  }

  #judge(asked: OfferedPrompt): Verdict {
    const { query } = asked;
    const value = getRequestValue(query, this.#view.table);
    const busyShare = getBusyShare(asked.candidates, query.req.route.targetMs);
    if (!this.#sharing) {
      return { isAdmitted: this.#isWorth(asked, value, busyShare) };
    }
    const appointment = this.#sharing.returns.find(query.req);
    const isDue = appointment?.isDue ?? false;
    const pressure = this.#getPressure(asked);
    const who = { pool: query.pool, customer: query.req.customer, isReturn: isDue };
    const share = this.#sharing.shares.assess(who, pressure);
    const isTooEarly = appointment !== undefined && !isDue && isContended(pressure);
    const { weight, relief, isAbove } = share ?? NOT_CONTENDED;
    const isAdmitted =
      !isTooEarly &&
      !isAbove &&
      (isDue || this.#isWorth(asked, value * weight, busyShare * relief));
    return { isAdmitted, share, appointment };
  }

  #isWorth({ query, engine, request }: OfferedPrompt, value: number, busyShare: number): boolean {
    const readMs = getReadMs(engine, request.promptTokens);
    return this.#admission.admits(query.pool, value, readMs, busyShare);
  }

  #getPressure({ query, engine, candidates }: OfferedPrompt): PoolPressure {
    // Those with the shortest objectives are the first that a surge of others makes late.
    const shortestMs = this.#view.table?.getShortestTargetMs(query.pool);
    return {
      busyShare: getBusyShare(candidates, shortestMs ?? query.req.route.targetMs),
      memoryShare: getMemoryShare(engine, candidates),
    };
  }

  #shed(asked: OfferedPrompt, reason: PlacementFailure, verdict: Verdict): PlacementFailure {
    const { query, engine, request, candidates } = asked;
    const roomMs = getRoomMs(candidates);
    this.#roomMs.set(query.pool, roomMs);
    if (!this.#sharing) {
      return reason;
    }
    const { share, appointment } = verdict;
    const { req, pool } = query;
    const available = this.#view.getAvailable(pool, query.homes).length;
    const upstreams = Math.max(1, available * (share?.allowedShare ?? 1));
    const retryMs =
      appointment && !appointment.isDue
        ? appointment.leftMs
        : this.#sharing.returns.appoint({
            ...{ req, pool, roomMs, deadlineLeftMs: query.deadlineAtMs - this.#clock.now() },
            workMs: getWorkMs(engine, request) / upstreams,
          });
    this.#retryMs.set(req, retryMs);
    this.#logger.info("prompt rejected under load", {
      ...{ requestId: req.head.attemptId, step: "placement", cause: reason, pool },
      ...{ customer: req.customer, tokens: request.promptTokens, ...getShareFields(share) },
      ...{ isBack: appointment !== undefined, retryMs: Math.round(retryMs) },
    });
    return reason;
  }
}

/** Share of the upstreams' KV memory in use, 0 to 1. */
const getMemoryShare = (
  { kvTokens }: EngineSpec,
  candidates: readonly PlacementCandidate[],
): number => {
  const used = candidates.reduce((sum, { load }) => sum + Math.min(1, load.kvTokens / kvTokens), 0);
  return used / Math.max(1, candidates.length);
};

/** Log fields of a customer's use and its share. */
export const getShareFields = (share: ShareState | undefined): object =>
  share
    ? {
        customerUse: Number(share.usedShare.toFixed(3)),
        customerShare: Number(share.allowedShare.toFixed(3)),
      }
    : {};
