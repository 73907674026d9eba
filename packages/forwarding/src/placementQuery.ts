import type { PlacementCost } from "./costs/placementCosts.js";
import type { AnswerTimeline } from "./AnswerTimeline.js";
import type { Upstream } from "./fleetConfig.js";
import { SendResult } from "./outcomes.js";
import type { PlacementPlan, PlacementRequest } from "./placement.js";
import type { Homes } from "./regions.js";
import { RoomCause } from "./room/RoomCause.js";
import type { ShareState } from "./shares/CustomerShares.js";
import type { ForwardRequest } from "./types.js";

/** Upstream that one request is sent to; `plan` and `request` are set for prompts only. */
export interface Placement {
  readonly upstream: Upstream;
  readonly plan: PlacementPlan | undefined;
  readonly request: PlacementRequest | undefined;
  readonly waitedMs: number;
  readonly cost?: PlacementCost | undefined;
  /** Share of the customer in a contended pool. */
  readonly share?: ShareState | undefined;
  /** Other requests avoid the upstream meanwhile. */
  readonly isApart: boolean;
}

/** Why a request has no placement. */
export const PlacementFailure = {
  NoUpstream: "no_upstream",
  TimeOver: "time_over",
  /** The fleet is busy, and other requests are worth more for the same work. */
  Overloaded: "overloaded",
  /** The pool is contended, and the customer uses more of it than its share. */
  OverShare: "over_share",
  /** The upstreams would send the first event too late for the caller. */
  TooLate: "too_late",
  ...RoomCause,
  /** The upstreams name limits, and take no more requests in time. */
  Limited: "limited",
  Cancelled: "cancelled",
  /** This process ends before the answer could. */
  Leaving: "leaving",
} as const;
export type PlacementFailure = (typeof PlacementFailure)[keyof typeof PlacementFailure];

/** A request to place, with the limits on the choice. */
export interface PlacementQuery {
  readonly req: ForwardRequest;
  readonly pool: string;
  readonly homes?: Homes;
  /** Ids of upstreams that already failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic time of the request's deadline. */
  readonly deadlineAtMs: number;
  /** Events that the caller received from earlier sends. */
  readonly timeline: AnswerTimeline;
  /** Ends the search. */
  readonly signal: AbortSignal;
  /** The request may crash its upstream, so that it should share it with few others. */
  readonly isApart: boolean;
}

/** Why a search ends without a look at the upstreams; undefined while it goes on. */
export const getEnd = (
  { deadlineAtMs, signal }: PlacementQuery,
  now: number,
): PlacementFailure | undefined => {
  if (signal.aborted) {
    return signal.reason === SendResult.Leaving
      ? PlacementFailure.Leaving
      : PlacementFailure.Cancelled;
  }
  return now >= deadlineAtMs ? PlacementFailure.TimeOver : undefined;
};

/** False for a caller that has events of the answer, or resumes a stream, perhaps from another process. */
export const isRejectable = ({ req, timeline }: PlacementQuery): boolean =>
  timeline.firstMs === undefined && !(req.route.isResumable && req.head.lastEventId !== undefined);

/** Share of the time left in which the first event has to come, however long an answer is expected. */
const MIN_FIRST_SHARE = 0.75;

/**
 * Time until the first event would come too late for the whole answer, milliseconds. Callers' estimates of
 * the answer's length are often far off.
 */
export const getLatestFirstMs = (request: PlacementRequest, deadlineLeftMs: number): number =>
  Math.max(request.deadlineLeftMs, MIN_FIRST_SHARE * deadlineLeftMs);
