import type { Placement } from "./Placer.js";
import type { StallTimeouts } from "./Send.js";
import type { Reservations } from "./ReservationManager.js";
import { Repeat, type Route, type Upstream } from "./fleetConfig.js";
import type { ForwardRequest } from "./types.js";

const DOUBT_FIRST_MS = 700;
const DOUBT_GAP_MS = 700;
/** Silence that raises doubt, as a multiple of what is expected. */
const DOUBT_FACTOR = 2;
const MIN_CALL_SILENCE_MS = 250;
const CALL_PATIENCE = 2;
/** Callers leave a stream after the longest of these. */
const MIN_ABANDON_MS = 2_000;
const ABANDON_TARGETS = 4;
const ABANDON_GAPS = 8;
/** Share of a caller's patience after which another upstream is tried. */
const ABANDON_SHARE = 0.75;
const SHORT_GAP_MS = 300;
const MIDDLE_GAP_MS = 700;

/** Monotonic time at which the request's time is over. */
export const getDeadlineAtMs = ({ receivedMs, route, head }: ForwardRequest): number =>
  receivedMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);

/** Time that an upstream may be silent before another is tried; undefined when none may be. */
export const getStallTimeouts = (
  route: Route,
  place: Placement,
  isLastSend: boolean,
): StallTimeouts | undefined => {
  if (route.isStream) {
    return route.isResumable ? getStreamStallTimeouts(route, place) : undefined;
  }
  if (route.repeat === Repeat.AtMostOnce || isLastSend) {
    return undefined;
  }
  const ms = Math.max(MIN_CALL_SILENCE_MS, CALL_PATIENCE * route.targetMs);
  const term = { firstMs: ms, gapMs: ms };
  return { probe: term, abandon: term };
};

const getStreamStallTimeouts = (route: Route, place: Placement): StallTimeouts => {
  const maxGapMs = route.maxGapMs ?? 0;
  const abandonMs = Math.max(
    MIN_ABANDON_MS,
    ABANDON_TARGETS * route.targetMs,
    ABANDON_GAPS * maxGapMs,
  );
  const endMs = ABANDON_SHARE * abandonMs;
  const expectedMs = place.plan?.firstEventMs ?? 0;
  return {
    probe: {
      firstMs: Math.max(DOUBT_FIRST_MS, DOUBT_FACTOR * expectedMs),
      gapMs: Math.max(DOUBT_GAP_MS, maxGapMs),
    },
    abandon: { firstMs: Math.max(endMs, DOUBT_FACTOR * expectedMs), gapMs: endMs },
  };
};

/** Urgency at the upstream: writers with short pauses go first. */
export const getUrgency = (maxGapMs: number): number => {
  if (maxGapMs <= SHORT_GAP_MS) {
    return 2;
  }
  return maxGapMs <= MIDDLE_GAP_MS ? 4 : 5;
};

/** Helpers in the order in which memory is filled: those with reservations first. */
export const orderHelpers = (
  place: Placement,
  reservations: Reservations | undefined,
): { upstream: Upstream; reservationId: string | undefined }[] => {
  const helpers = (place.plan?.helpers ?? []).map((upstream) => ({
    upstream,
    reservationId: reservations?.ids.get(upstream.id),
  }));
  return [
    ...helpers.filter(({ reservationId }) => reservationId),
    ...helpers.filter(({ reservationId }) => !reservationId),
  ];
};
