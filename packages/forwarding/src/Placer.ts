import { sleep, type Clock, type Random } from "@lycheepulley/core";

import type { EngineSpec, Route, Upstream } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";
import { newUpstreamLoad } from "./load.js";
import type { LoadTracker } from "./LoadTracker.js";
import {
  estimateValue,
  MAX_HELPERS,
  planIdle,
  pickServiceUpstream,
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "./placement.js";
import { sample } from "./sample.js";
import type { ForwardRequest } from "./types.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** Loss above that of an idle fleet at which a prompt is sent without waiting. */
const ACCEPTED_LOSS = 0.5;
/** Share of the slack before the objective that a prompt may wait for room. */
const HOLD_SHARE = 0.5;
const RECHECK_MS = 15;
/**
 * Upstreams among which one request chooses. Many processes that choose at the
 * same moment from a larger pool would all take the same one.
 */
const MAX_CANDIDATES = 24;
/** Pause between events assumed for routes that state none. */
const DEFAULT_GAP_MS = 1_000;

/** Place of one request; helpers and plan only for prompts. */
export interface Placement {
  readonly writer: Upstream;
  readonly plan: PlacementPlan | undefined;
  readonly request: PlacementRequest | undefined;
  readonly waitedMs: number;
}

/** Why there was no place. */
export const PlacementFailure = {
  NoUpstream: "no_upstream",
  TimeOver: "time_over",
  Cancelled: "cancelled",
} as const;
export type PlacementFailure = (typeof PlacementFailure)[keyof typeof PlacementFailure];

/** What a request asks of the placer. */
export interface PlacementQuery {
  readonly req: ForwardRequest;
  readonly pool: string;
  /** Upstreams that already failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time at which the request's time is over. */
  readonly deadlineAtMs: number;
}

/** Finds places for requests, holding prompts back while they would harm others. */
export class Placer {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #board: LoadTracker;
  readonly #health: UpstreamHealth;

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#board = options.loadTracker;
    this.#health = options.health;
  }

  /** Resolves with a place once there is one, or with the reason for none. */
  async find(query: PlacementQuery): Promise<Placement | PlacementFailure> {
    const engine = this.#view.table?.findPool(query.pool)?.engine;
    const startMs = this.#clock.now();
    // A place that came to nothing must not count against the next one.
    this.#board.removeOwn(query.req.head.attemptId);
    const isPrompt = engine !== undefined && query.req.head.promptTokens > 0;
    const place = isPrompt
      ? await this.#findForPrompt(query, engine, startMs)
      : this.#findForCall(query, startMs);
    if (typeof place !== "string") {
      this.#occupy(query, place);
    }
    return place;
  }

  #findForCall(query: PlacementQuery, startMs: number): Placement | PlacementFailure {
    const writer = pickServiceUpstream(this.#getCandidates(query), this.#random);
    const waitedMs = this.#clock.now() - startMs;
    return writer
      ? { writer, plan: undefined, request: undefined, waitedMs }
      : PlacementFailure.NoUpstream;
  }

  async #findForPrompt(
    query: PlacementQuery,
    engine: EngineSpec,
    startMs: number,
  ): Promise<Placement | PlacementFailure> {
    const { req, deadlineAtMs: endMs } = query;
    for (;;) {
      const now = this.#clock.now();
      if (req.signal.aborted) {
        return PlacementFailure.Cancelled;
      }
      if (now >= endMs) {
        return PlacementFailure.TimeOver;
      }
      const candidates = this.#getCandidates(query);
      if (candidates.length === 0) {
        return PlacementFailure.NoUpstream;
      }
      const request = newPlacementRequest(req, now);
      const plan = planPlacement(engine, request, candidates);
      if (plan && this.#isAcceptable({ query, engine, request, plan, candidates, now })) {
        return { writer: plan.writer, plan, request, waitedMs: now - startMs };
      }
      await sleep(this.#clock, RECHECK_MS, req.signal);
    }
  }

  #isAcceptable(options: {
    query: PlacementQuery;
    engine: EngineSpec;
    request: PlacementRequest;
    plan: PlacementPlan;
    candidates: readonly PlacementCandidate[];
    now: number;
  }): boolean {
    const { query, engine, request, plan, candidates, now } = options;
    const { route, receivedMs } = query.req;
    const upstreams = candidates.slice(0, MAX_HELPERS + 1).map(({ upstream }) => upstream);
    const idle = planIdle(engine, request, upstreams);
    if (!idle || plan.loss - idle.loss <= ACCEPTED_LOSS) {
      return true;
    }
    const holdMs = HOLD_SHARE * Math.max(0, route.targetMs - idle.firstEventMs);
    return now - receivedMs >= holdMs;
  }

  #getCandidates({ pool, excluded }: PlacementQuery): PlacementCandidate[] {
    const available = this.#view.getAvailable(pool);
    const untried = available.filter(({ id }) => !excluded.has(id));
    const active = this.#health.selectActive(untried.length > 0 ? untried : available);
    const loads = this.#board.getLoads();
    const considered =
      active.length > MAX_CANDIDATES ? sample(active, MAX_CANDIDATES, this.#random) : active;
    return considered.map((upstream) => ({
      upstream,
      load: loads.get(upstream.id) ?? newUpstreamLoad(),
      failureRate: this.#health.getFailureRate(upstream.id),
    }));
  }

  #occupy({ req, pool }: PlacementQuery, { writer, plan, request }: Placement): void {
    this.#board.setOwn({
      id: req.head.attemptId,
      pool,
      phase: plan ? "reading" : "writing",
      upstream: writer.id,
      helpers: plan?.helpers.map(({ id }) => id) ?? [],
      readMs: Math.ceil(plan?.readMs ?? 0),
      kvTokens: getKvTokens(req, plan),
      heldTokens: plan ? [...plan.heldTokens] : [],
      maxGapMs: request?.maxGapMs ?? DEFAULT_GAP_MS,
      targetLeftMs: Math.round(request?.targetLeftMs ?? 0),
      value: Number((request?.value ?? 1).toFixed(2)),
    });
  }
}

const getKvTokens = (req: ForwardRequest, plan: PlacementPlan | undefined): number => {
  const held = plan?.heldTokens.reduce((sum, tokens) => sum + tokens, 0) ?? 0;
  return Math.max(0, req.head.promptTokens + req.head.outputTokens - held);
};

const getGapMs = (route: Route): number => route.maxGapMs ?? DEFAULT_GAP_MS;

const newPlacementRequest = (req: ForwardRequest, now: number): PlacementRequest => ({
  promptTokens: req.head.promptTokens,
  outputTokens: req.head.outputTokens,
  maxGapMs: getGapMs(req.route),
  targetLeftMs: req.route.targetMs - (now - req.receivedMs),
  value: estimateValue(req.head.promptTokens),
});
