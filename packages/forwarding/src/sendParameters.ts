import type { Random } from "@lycheepulley/core";

import { isExpectedLate } from "./placement.js";
import type { Placement } from "./Placer.js";
import type { StallTimeouts } from "./StallWatch.js";
import type { Reservations } from "./ReservationManager.js";
import type { Route, Upstream } from "./fleetConfig.js";
import { canRepeat } from "./outcomes.js";
import type { ForwardRequest } from "./types.js";

/** Shortest stalls before the first event and between events after which an upstream is probed. */
const MIN_FIRST_PROBE_MS = 700;
const MIN_GAP_PROBE_MS = 400;
/** Stall before the first event that is tolerated, as a multiple of the expected time. */
const FIRST_EVENT_FACTOR = 2;
/** A stalled call is sent to another upstream after a multiple of its latency objective, but not before the minimum. */
const MIN_CALL_STALL_MS = 250;
const CALL_TARGET_FACTOR = 2;
/**
 * Callers abandon a stalled stream after the longest of a minimum and multiples
 * of its latency and gap objectives.
 */
const MIN_CALLER_WAIT_MS = 2_000;
const CALLER_WAIT_TARGETS = 4;
const CALLER_WAIT_GAPS = 8;
/** Share of the caller's wait after which another upstream is tried. */
const REPLACE_SHARE = 0.75;
/** Requests with less slack are in the most urgent class that is used. */
const URGENT_SLACK_MS = 100;
const LEAST_URGENT = 9;

/** Monotonic time of the request's deadline, by the route's time-out and the caller's own deadline. */
export const getDeadlineAtMs = ({ receivedMs, route, head }: ForwardRequest): number =>
  receivedMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);

/** Picks one of the route's pools by weight. */
export const pickPool = ({ pools }: Route, random: Random): string => {
  const sum = pools.reduce((total, { weight }) => total + weight, 0);
  let left = random.next() * sum;
  for (const { pool, weight } of pools) {
    left -= weight;
    if (left < 0) {
      return pool;
    }
  }
  return pools[0]?.pool ?? "";
};

/** Time-outs for a stalled upstream; undefined when no other may take over. */
export const getStallTimeouts = (route: Route, placement: Placement): StallTimeouts | undefined => {
  if (!canRepeat(route)) {
    return undefined;
  }
  if (route.isStream) {
    return getStreamStallTimeouts(route, placement);
  }
  const ms = Math.max(MIN_CALL_STALL_MS, CALL_TARGET_FACTOR * route.targetMs);
  const timeout = { firstMs: ms, gapMs: ms };
  return { probe: timeout, replace: timeout };
};

const getStreamStallTimeouts = (route: Route, placement: Placement): StallTimeouts => {
  const maxGapMs = route.maxGapMs ?? 0;
  const callerWaitMs = Math.max(
    MIN_CALLER_WAIT_MS,
    CALLER_WAIT_TARGETS * route.targetMs,
    CALLER_WAIT_GAPS * maxGapMs,
  );
  const replaceMs = REPLACE_SHARE * callerWaitMs;
  const expectedMs = placement.plan?.firstEventMs ?? 0;
  return {
    probe: {
      firstMs: Math.max(MIN_FIRST_PROBE_MS, FIRST_EVENT_FACTOR * expectedMs),
      gapMs: Math.max(MIN_GAP_PROBE_MS, maxGapMs),
    },
    replace: { firstMs: Math.max(replaceMs, FIRST_EVENT_FACTOR * expectedMs), gapMs: replaceMs },
  };
};

/**
 * Urgency class at the upstream, 0 the most urgent: by the time until something is
 * lost, which doubles from class to class. A request that will be late anyway loses nothing until its deadline.
 */
export const getUrgency = ({ plan, request }: Placement): number | undefined => {
  if (!plan || !request) {
    return undefined;
  }
  const slackMs = isExpectedLate(plan, request) ? request.deadlineLeftMs : request.targetLeftMs;
  const urgency = 1 + Math.floor(Math.log2(Math.max(1, slackMs / URGENT_SLACK_MS)));
  return Math.min(LEAST_URGENT, urgency);
};

/** Helpers in the order in which memory is filled: those with reservations first. */
export const orderHelpers = (
  placement: Placement,
  reservations: Reservations | undefined,
): { upstream: Upstream; reservationId: string | undefined }[] => {
  const helpers = (placement.plan?.helpers ?? []).map((upstream) => ({
    upstream,
    reservationId: reservations?.ids.get(upstream.id),
  }));
  return [
    ...helpers.filter(({ reservationId }) => reservationId),
    ...helpers.filter(({ reservationId }) => !reservationId),
  ];
};
