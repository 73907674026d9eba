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
export interface RoomRequest {
  readonly req: ForwardRequest;
  readonly pool: string;
  readonly engine: EngineSpec;
  readonly request: PlacementRequest;
  /** All usable upstreams, as {@link RoomBook.addClaims} returns them. */
  readonly candidates: readonly PlacementCandidate[];
  /** Number of the pool's upstreams, usable now or not. */
  readonly upstreams: number;
  readonly deadlineLeftMs: number;
  /** False for a caller that has a part of the answer. */
  readonly mayReject: boolean;
}

/** A prompt, and the upstreams that it may use. */
export type AskedPrompt = Pick<RoomRequest, "req" | "engine" | "request" | "candidates">;

/** Finds room, on the upstreams promised before unless others have it sooner. */
export const findRoomAgain = (
  { engine, request, candidates }: RoomRequest,
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

/** True when a prompt that has waited for `waitedMs` shouldn't wait on. */
export const isTooLate = (
  { request, req, deadlineLeftMs }: RoomRequest,
  found: FoundRoom | undefined,
  waitedMs: number,
): boolean =>
  found
    ? found.inMs + found.plan.firstEventMs > getLatestFirstMs(request, deadlineLeftMs)
    : waitedMs >= UNKNOWN_WAIT_SHARE * req.route.targetMs;

/** True for a prompt that may get room too late, and whose caller can come back when it is due. */
export const isUncertain = (
  { request, deadlineLeftMs }: RoomRequest,
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
  { request, deadlineLeftMs }: RoomRequest,
  { inMs, plan }: FoundRoom,
): number => {
  const isLate = inMs + plan.firstEventMs > request.targetLeftMs;
  const latestMs = isLate ? getLatestFirstMs(request, deadlineLeftMs) : request.targetLeftMs;
  return Math.max(inMs, PUNCTUAL_SHARE * (latestMs - plan.firstEventMs));
};

/** True for a prompt that the pool's upstreams hold while nothing runs there. */
export const isHeldByIdle = ({ engine, request, upstreams }: RoomRequest): boolean => {
  const kvTokens = getNeededKv(request);
  const maxMembers = getMaxMembers(request.promptTokens, upstreams);
  return fitsIdle(engine, kvTokens, { upstreams, maxMembers });
};

/** Key under which attempts of one request are known to each other. */
export const getReturnKey = (req: ForwardRequest): string => req.fingerprint.slice(0, KEY_LENGTH);

/** Id of the load item that keeps room for a request that is told to return. */
export const getReturnId = (req: ForwardRequest): string => `return-${getReturnKey(req)}`;
