import type { Clock, Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { CostBook } from "../costs/CostBook.js";
import type { TimedLoadItem, UpstreamLoad } from "../load.js";
import type { LoadTracker } from "../LoadTracker.js";
import {
  getNeededKv,
  isForOneUpstream,
  planPlacement,
  type PlacementCandidate,
  type PlacementPlan,
  type PlacementRequest,
} from "../placement.js";
import { getLatestFirstMs } from "../placementQuery.js";
import { getRetryAfterMs } from "../retryAfter.js";
import type { ForwardRequest } from "../types.js";
import {
  decideRoom,
  getNeededInMs,
  getReturnId,
  getReturnKey,
  type AskedPrompt,
  type RoomRequest,
  type RoomStanding,
} from "./decisions.js";
import type { FoundRoom } from "./findRoom.js";
import { estimateReleases, ReleaseForecast } from "./forecast.js";
import { KeptRoom } from "./KeptRoom.js";
import { withClaimsNow } from "./memory.js";
import { countBefore, getLookMs, getReplanMs } from "./pacing.js";
import { goesBefore, isInForce, RETURN_GRACE_MS } from "./promise.js";
import { newPromiseItem } from "./promiseItem.js";
import { RoomCause } from "./RoomCause.js";
import type { RoomPolicy, RoomView } from "./RoomPolicy.js";
import { RoomStats, type RoomCounts } from "./RoomStats.js";
import { newWaitingPrompt, type WaitingPrompt } from "./WaitingPrompt.js";

/** A promise is renewed at this interval, or sooner when it moved by the second time. */
const RENEWAL_MS = 500;
const MOVED_MS = 100;
/** Time for which each prompt before may take memory that has become free, and most of them. */
const YIELD_MS = 25;
const MAX_YIELDS = 4;
/** Short prompts leave memory only to those that expect theirs this soon. */
const SOON_MS = 500;
/** Most prompts of one process that are promised room; others wait behind them. */
const MAX_PROMISES = 32;
/** A caller may come back this much earlier than it was told. */
const EARLY_RETURN_MS = 100;

/**
 * Prompts of this process that wait for KV memory, and the memory that they are promised. Promises are
 * load items, so that all processes know them; a total order by place and id settles conflicts.
 */
export class RoomBook implements RoomPolicy {
  readonly isPromised = true;
  readonly #clock: Clock;
  readonly #loadTracker: LoadTracker;
  readonly #logger: Logger;
  readonly #waiting = new Map<string, WaitingPrompt>();
  readonly #returnMs = new WeakMap<ForwardRequest, number>();
  readonly #kept: KeptRoom;
  readonly #roomMs = new WeakMap<ForwardRequest, number>();
  readonly #forecast: ReleaseForecast;
  readonly #stats = new RoomStats();

  constructor(options: {
    clock: Clock;
    loadTracker: LoadTracker;
    costs?: CostBook | undefined;
    logger: Logger;
  }) {
    this.#clock = options.clock;
    this.#loadTracker = options.loadTracker;
    this.#logger = options.logger;
    this.#forecast = new ReleaseForecast(options);
    this.#kept = new KeptRoom(options);
  }

  get counts(): RoomCounts {
    const waiting: Record<string, number> = {};
    let promisedTokens = 0;
    for (const { route, tokens } of this.#waiting.values()) {
      waiting[route] = (waiting[route] ?? 0) + 1;
      promisedTokens += tokens;
    }
    return this.#stats.getCounts({ waiting, promisedTokens });
  }

  /** Time after which a rejected request should come back, milliseconds; a promised time is its own. */
  getRetryMs(req: ForwardRequest, random: Random): number {
    return this.#returnMs.get(req) ?? getRetryAfterMs(this.#roomMs.get(req), random);
  }

  /**
   * Leaves to each candidate's load only the claims that go before the request, and adds when memory
   * becomes free there. `isAsked`: the loads are sums of a peer, and this process doesn't know the requests.
   */
  addClaims(
    candidates: readonly PlacementCandidate[],
    { req, engine, isAsked, isWaiting }: RoomView,
  ): readonly PlacementCandidate[] {
    if (!isWaiting && candidates.every(({ load }) => load.claims === undefined)) {
      return candidates;
    }
    const place = this.#getPlace(req);
    const { attemptId: id } = req.head;
    const returnId = place === undefined ? undefined : getReturnId(req);
    const isBefore = (claim: { id: string; place: number }): boolean =>
      claim.id !== id &&
      claim.id !== returnId &&
      (place === undefined || goesBefore(claim, { id, place }));
    const forecast = isAsked ? undefined : this.#forecast.get(engine);
    return candidates.map((candidate) => {
      const { claims, ...rest } = candidate.load;
      const before = (claims ?? []).filter(isBefore);
      const load: UpstreamLoad = before.length > 0 ? { ...rest, claims: before } : rest;
      return {
        ...candidate,
        load,
        releases: forecast
          ? (forecast.get(candidate.upstream.id) ?? [])
          : estimateReleases(engine, load),
      };
    });
  }

  /** Place of a request that waits, or that came back when it was told to. */
  #getPlace(req: ForwardRequest): number | undefined {
    const waiting = this.#waiting.get(req.head.attemptId);
    if (waiting) {
      return waiting.place;
    }
    const item = this.#findReturn(req);
    const leftMs = item ? this.#getReturnLeftMs(item) : Infinity;
    return leftMs <= EARLY_RETURN_MS ? item?.promise?.place : undefined;
  }

  /** The promise to a request that was rejected before. */
  #findReturn(req: ForwardRequest): TimedLoadItem | undefined {
    const id = getReturnId(req);
    const now = this.#clock.now();
    return this.#loadTracker.items.find((item) => item.id === id && isInForce(item, now));
  }

  #getReturnLeftMs({ promise, sinceMs }: TimedLoadItem): number {
    return (promise?.inMs ?? 0) - (this.#clock.now() - sinceMs);
  }

  /**
   * Undefined while a prompt that waits leaves memory which has become free to those before it, which look
   * at about the same time. Each gets some time to take it.
   */
  awaitTurn(
    { req, engine, request, candidates }: AskedPrompt,
    plan: PlacementPlan | undefined,
  ): PlacementPlan | undefined {
    const waiting = this.#waiting.get(req.head.attemptId);
    const isShort = isForOneUpstream(request.promptTokens);
    const claims = candidates
      .flatMap(({ load }) => load.claims ?? [])
      .filter(({ roomMs }) => !isShort || roomMs <= SOON_MS);
    if (!waiting || claims.length === 0) {
      return plan;
    }
    const now = this.#clock.now();
    const isFree = !plan || planPlacement(engine, request, candidates.map(withClaimsNow));
    waiting.yieldsSinceMs = isFree ? undefined : (waiting.yieldsSinceMs ?? now);
    const before = new Set(claims.map(({ id }) => id)).size;
    const untilMs = (waiting.yieldsSinceMs ?? -Infinity) + YIELD_MS * Math.min(before, MAX_YIELDS);
    return now < untilMs ? undefined : plan;
  }

  accepts(plan: PlacementPlan, request: PlacementRequest, deadlineLeftMs: number): boolean {
    return plan.firstEventMs <= getLatestFirstMs(request, deadlineLeftMs);
  }

  getStanding(req: ForwardRequest, candidates: readonly PlacementCandidate[]): RoomStanding {
    const known = this.#waiting.get(req.head.attemptId);
    return {
      place: known?.place ?? this.#getPlace(req) ?? this.#getNextPlace(candidates),
      waitedMs: known && this.#clock.now() - known.sinceMs,
      upstreams: known?.upstreams ?? [],
      hasReturned: !known && this.#findReturn(req) !== undefined,
    };
  }

  get mayPromise(): boolean {
    return this.#waiting.size < MAX_PROMISES;
  }

  /** Has a prompt without a plan wait, promised room where there is any; returns why it shouldn't. */
  decide(room: RoomRequest): RoomCause | undefined {
    const { req, candidates } = room;
    const known = this.#waiting.get(req.head.attemptId);
    const now = this.#clock.now();
    if (known && now < known.lookedMs + getLookMs(this.#waiting.size, known)) {
      return undefined;
    }
    const standing = this.getStanding(req, candidates);
    const { cause, found, isKept } = decideRoom(room, standing);
    if (cause === RoomCause.TooLarge) {
      return this.#reject(room, cause, undefined);
    }
    const waiting = known ?? this.#add(room, standing, now);
    waiting.lookedMs = now;
    if (found && isKept) {
      this.#promiseReturn(room, found, standing.place);
    }
    if (cause) {
      return this.#reject(room, cause, found?.inMs);
    }
    this.#promise(room, waiting, found);
    return undefined;
  }

  /** Time after which a prompt that waits should be planned again, milliseconds. */
  getReplanMs({ head }: ForwardRequest): number {
    return getReplanMs(countBefore(this.#waiting, head.attemptId));
  }

  #add({ req }: RoomRequest, { place, hasReturned }: RoomStanding, now: number): WaitingPrompt {
    const waiting = newWaitingPrompt({ route: req.route.name, place, now });
    if (hasReturned) {
      this.#stats.countPromise("returned");
    }
    this.#waiting.set(req.head.attemptId, waiting);
    return waiting;
  }

  #getNextPlace(candidates: readonly PlacementCandidate[]): number {
    const claimed = candidates.flatMap(({ load }) => load.claims ?? []);
    const places = [...claimed, ...this.#waiting.values()].map(({ place }) => place);
    return 1 + Math.max(0, ...places);
  }

  #promise(room: RoomRequest, waiting: WaitingPrompt, found: FoundRoom | undefined): void {
    const now = this.#clock.now();
    const { attemptId } = room.req.head;
    if (!found) {
      this.#loadTracker.removeOwn(attemptId);
      waiting.tokens = 0;
      waiting.upstreams = [];
      return;
    }
    const roomAtMs = now + found.inMs;
    const movedMs = Math.abs(roomAtMs - (waiting.roomAtMs ?? Infinity));
    if (now < waiting.renewedMs + RENEWAL_MS && movedMs < MOVED_MS) {
      return;
    }
    const upstreams = [found.plan.upstream, ...found.plan.helpers].map(({ id }) => id);
    const isFirst = waiting.firstRoomAtMs === undefined;
    waiting.upstreams = upstreams;
    waiting.firstRoomAtMs ??= roomAtMs;
    waiting.roomAtMs = roomAtMs;
    waiting.renewedMs = now;
    if (this.#waiting.size <= MAX_PROMISES || waiting.tokens > 0) {
      waiting.renewal += 1;
      waiting.tokens = getNeededKv(room.request);
      const { place, renewal } = waiting;
      // It isn't put off while the prompt may still meet its objective.
      if (waiting.neededAtMs === undefined || now > waiting.neededAtMs) {
        waiting.neededAtMs = now + getNeededInMs(room, found);
      }
      const neededInMs = Math.max(found.inMs, waiting.neededAtMs - now);
      this.#loadTracker.setOwn(
        newPromiseItem(room, { ...found, id: attemptId, neededInMs }, { place, renewal }),
      );
    }
    if (isFirst || movedMs >= RENEWAL_MS) {
      this.#logger.info("prompt waits for room", {
        ...{ requestId: attemptId, step: "placement", place: waiting.place },
        ...{ tokens: room.request.promptTokens, roomMs: Math.round(found.inMs) },
        expectedMs: Math.round(found.inMs + found.plan.firstEventMs),
        upstreams,
        waiting: this.#waiting.size,
      });
    }
  }

  /** Keeps room for a caller that is told to come back for it. */
  #promiseReturn(room: RoomRequest, found: FoundRoom, place: number): void {
    const id = getReturnId(room.req);
    const fields = { place, renewal: 0, returnKey: getReturnKey(room.req) };
    const item = newPromiseItem(room, { ...found, id, neededInMs: found.inMs }, fields);
    if (this.#kept.keep(item, found.inMs + RETURN_GRACE_MS)) {
      this.#returnMs.set(room.req, found.inMs);
    }
  }

  #reject({ req, request }: RoomRequest, cause: RoomCause, roomMs: number | undefined): RoomCause {
    const waiting = this.#waiting.get(req.head.attemptId);
    if (roomMs !== undefined) {
      this.#roomMs.set(req, roomMs);
    }
    this.#stats.countRejected(cause);
    this.#logger.info("prompt rejected for lack of room", {
      ...{ requestId: req.head.attemptId, step: "placement", cause, place: waiting?.place },
      ...{ tokens: request.promptTokens, roomMs: roomMs === undefined ? null : Math.round(roomMs) },
      leftMs: Math.round(request.deadlineLeftMs),
      waitedMs: waiting ? Math.round(this.#clock.now() - waiting.sinceMs) : 0,
    });
    return cause;
  }

  /** Ends the wait of a request, which was placed or not. */
  end(req: ForwardRequest, isPlaced: boolean): void {
    const { attemptId } = req.head;
    if (isPlaced) {
      this.#kept.end(getReturnId(req));
    }
    const waiting = this.#waiting.get(attemptId);
    if (!waiting) {
      return;
    }
    this.#waiting.delete(attemptId);
    const now = this.#clock.now();
    const { sinceMs, place, firstRoomAtMs, tokens } = waiting;
    if (tokens > 0) {
      this.#stats.countPromise(isPlaced ? "used" : "lapsed");
    }
    if (isPlaced && firstRoomAtMs !== undefined) {
      this.#stats.recordError(now - firstRoomAtMs);
    }
    if (!isPlaced) {
      this.#loadTracker.removeOwn(attemptId);
    }
    this.#logger.info("prompt no longer waits for room", {
      ...{ requestId: attemptId, step: "placement", place, isPlaced },
      waitedMs: Math.round(now - sinceMs),
      promisedMs: firstRoomAtMs === undefined ? null : Math.round(firstRoomAtMs - sinceMs),
    });
  }
}
