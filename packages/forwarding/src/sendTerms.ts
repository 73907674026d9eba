import type { Place } from "./Placer.js";
import type { Silence } from "./Send.js";
import type { HeldTickets } from "./TicketKeeper.js";
import { Repeat, type Route, type Upstream } from "./fleetConfig.js";
import type { ForwardRequest } from "./types.js";

const MIN_FIRST_SILENCE_MS = 1_000;
const MIN_GAP_SILENCE_MS = 900;
const MIN_CALL_SILENCE_MS = 250;
/** Silence that is borne, as a multiple of what is expected. */
const STREAM_PATIENCE = 3;
const CALL_PATIENCE = 2;
const SHORT_GAP_MS = 300;
const MIDDLE_GAP_MS = 700;

/** Monotonic time at which the request's time is over. */
export const getEndMs = ({ receivedMs, route, head }: ForwardRequest): number =>
  receivedMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);

/** Time that an upstream may be silent before another is tried; undefined when none may be. */
export const getSilence = (
  route: Route,
  place: Place,
  isLastSend: boolean,
): Silence | undefined => {
  if (route.isStream) {
    return route.isResumable ? getStreamSilence(route.maxGapMs ?? 0, place) : undefined;
  }
  if (route.repeat === Repeat.AtMostOnce || isLastSend) {
    return undefined;
  }
  const ms = Math.max(MIN_CALL_SILENCE_MS, CALL_PATIENCE * route.targetMs);
  return { firstMs: ms, gapMs: ms };
};

const getStreamSilence = (maxGapMs: number, place: Place): Silence => ({
  firstMs: Math.max(MIN_FIRST_SILENCE_MS, STREAM_PATIENCE * (place.plan?.firstEventMs ?? 0)),
  gapMs: Math.max(MIN_GAP_SILENCE_MS, STREAM_PATIENCE * maxGapMs),
});

/** Urgency at the upstream: writers with short pauses go first. */
export const getUrgency = (maxGapMs: number): number => {
  if (maxGapMs <= SHORT_GAP_MS) {
    return 2;
  }
  return maxGapMs <= MIDDLE_GAP_MS ? 4 : 5;
};

/** Helpers in the order in which memory is filled: those with tickets first. */
export const orderHelpers = (
  place: Place,
  tickets: HeldTickets | undefined,
): { upstream: Upstream; ticket: string | undefined }[] => {
  const helpers = (place.plan?.helpers ?? []).map((upstream) => ({
    upstream,
    ticket: tickets?.ids.get(upstream.id),
  }));
  return [...helpers.filter(({ ticket }) => ticket), ...helpers.filter(({ ticket }) => !ticket)];
};
