import type { EngineSpec } from "../fleetConfig.js";
import {
  getMaxMembers,
  getNeededKv,
  type PlacementCandidate,
  type PlacementRequest,
} from "../placement.js";
import { getLatestFirstMs } from "../placementQuery.js";
import type { ForwardRequest } from "../types.js";
import { findRoom, type FoundRoom } from "./findRoom.js";
import { fitsIdle } from "./memory.js";
import { RoomCause } from "./RoomCause.js";

/** A promise moves to other upstreams when it becomes sooner by this time. */
const STICKY_MS = 500;
/** Room may become free later than expected by this share of the time until then. */
const UNCERTAINTY = 0.5;
/** Share of the time left after which callers come back at the latest. */
const RETURN_SHARE = 1 / 3;
/** Share of the objective for which a prompt waits while it isn't known when there is room. */
const UNKNOWN_WAIT_SHARE = 1 / 8;
/** Share of the time until the latest start from which on a prompt's room is kept free. */
const PUNCTUAL_SHARE = 0.8;

const KEY_LENGTH = 32;

/** A prompt without a plan, and the upstreams that it may use. */
export interface RoomQuestion {
  readonly engine: EngineSpec;
  readonly request: PlacementRequest;
  /** All usable upstreams, as {@link RoomBook.addClaims} returns them. */
  readonly candidates: readonly PlacementCandidate[];
  /** Number of the pool's upstreams, usable now or not. */
  readonly upstreams: number;
  readonly deadlineLeftMs: number;
  /** False for a caller that has a part of the answer. */
  readonly mayReject: boolean;
  /** Objective for the first event from the arrival on, milliseconds. */
  readonly targetMs: number;
}

/** The same with the request itself. */
export interface RoomRequest extends RoomQuestion {
  readonly req: ForwardRequest;
  readonly pool: string;
}

/** What a prompt without a plan has got so far. */
export interface RoomStanding {
  /** Place in the queue. */
  readonly place: number;
  /** Time that it has waited, milliseconds; undefined for one that has just come. */
  readonly waitedMs?: number | undefined;
  /** Ids of upstreams on which it was promised room. */
  readonly upstreams: readonly string[];
  /** It was rejected before, and its room is kept. */
  readonly hasReturned: boolean;
}

/** Whether a prompt without a plan waits. */
export interface RoomDecision {
  /** Why it doesn't wait; undefined for one that waits. */
  readonly cause: RoomCause | undefined;
  /** The room that it may expect; undefined while that isn't known. */
  readonly found: FoundRoom | undefined;
  /** The room is kept for a rejected prompt. */
  readonly isKept: boolean;
}

/** A prompt, and the upstreams that it may use. */
export type AskedPrompt = Pick<RoomRequest, "req" | "engine" | "request" | "candidates">;

/** Finds room, on the upstreams promised before unless others have it sooner. */
const findRoomAgain = (
  { engine, request, candidates }: RoomQuestion,
  promisedIds: readonly string[],
): FoundRoom | undefined => {
  const found = findRoom(engine, request, candidates);
  const promised = candidates.filter(({ upstream }) => promisedIds.includes(upstream.id));
  if (!found || found.inMs <= STICKY_MS || promised.length === 0) {
    return found;
  }
  const again = findRoom(engine, request, promised);
  return again && again.inMs <= found.inMs + STICKY_MS ? again : found;
};

/** Time for which a prompt waits while it isn't known when there is room, milliseconds. */
export const getUnknownWaitMs = (targetMs: number): number => UNKNOWN_WAIT_SHARE * targetMs;

/** True when a prompt that has waited for `waitedMs` shouldn't wait on. */
const isTooLate = (
  { request, targetMs, deadlineLeftMs }: RoomQuestion,
  found: FoundRoom | undefined,
  waitedMs: number,
): boolean =>
  found
    ? found.inMs + found.plan.firstEventMs > getLatestFirstMs(request, deadlineLeftMs)
    : waitedMs >= getUnknownWaitMs(targetMs);

/** True for a prompt that may get room too late, and whose caller can come back when it is due. */
const isUncertain = (
  { request, deadlineLeftMs }: RoomQuestion,
  { inMs, plan }: FoundRoom,
): boolean => {
  const latestMs = (1 + UNCERTAINTY) * inMs + plan.firstEventMs;
  const isInTime = latestMs <= getLatestFirstMs(request, deadlineLeftMs);
  return !isInTime && inMs <= RETURN_SHARE * deadlineLeftMs;
};

/**
 * Time until a prompt needs its room at the latest: to meet its objective, or its deadline when it is late
 * anyway. Until then others may use the memory.
 */
export const getNeededInMs = (
  { request, deadlineLeftMs }: RoomQuestion,
  { inMs, plan }: FoundRoom,
): number => {
  const isLate = inMs + plan.firstEventMs > request.targetLeftMs;
  const latestMs = isLate ? getLatestFirstMs(request, deadlineLeftMs) : request.targetLeftMs;
  return Math.max(inMs, PUNCTUAL_SHARE * (latestMs - plan.firstEventMs));
};

/** True for a prompt that the pool's upstreams hold while nothing runs there. */
const isHeldByIdle = ({ engine, request, upstreams }: RoomQuestion): boolean => {
  const kvTokens = getNeededKv(request);
  const maxMembers = getMaxMembers(request.promptTokens, upstreams);
  return fitsIdle(engine, kvTokens, { upstreams, maxMembers });
};

/** Decides whether a prompt without a plan waits, and what for. */
export const decideRoom = (question: RoomQuestion, standing: RoomStanding): RoomDecision => {
  const { mayReject } = question;
  const { waitedMs, upstreams, hasReturned } = standing;
  if (mayReject && !isHeldByIdle(question)) {
    return { cause: RoomCause.TooLarge, found: undefined, isKept: false };
  }
  const found = findRoomAgain(question, upstreams);
  if (mayReject && isTooLate(question, found, waitedMs ?? 0)) {
    return { cause: RoomCause.NoRoom, found, isKept: false };
  }
  const isNew = waitedMs === undefined && !hasReturned;
  return found && isNew && mayReject && isUncertain(question, found)
    ? { cause: RoomCause.NoRoom, found, isKept: true }
    : { cause: undefined, found, isKept: false };
};

/** Key under which attempts of one request are known to each other. */
export const getReturnKey = (req: ForwardRequest): string => req.fingerprint.slice(0, KEY_LENGTH);

/** Id of the load item that keeps room for a request that is told to return. */
export const getReturnId = (req: ForwardRequest): string => `return-${getReturnKey(req)}`;
