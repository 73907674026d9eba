import type { Random } from "@lycheepulley/core";

/** Time after which a request comes back that found no upstream. */
export const NO_UPSTREAM_RETRY_AFTER_MS = 500;
/** Time after which a request comes back that the upstreams rejected. */
export const REJECTED_RETRY_AFTER_MS = 250;
/** Time after which a request comes back that a leaving process rejects: others can take it at once. */
export const LEAVING_RETRY_AFTER_MS = 50;
/** Share of the time to return by which it varies. */
const RETURN_SPREAD = 0.5;

/**
 * Time after which a rejected request comes back, milliseconds: when room is expected, if that is known,
 * at unlike times, so that requests don't return all at once.
 */
export const getRetryAfterMs = (roomMs: number | undefined, random: Random): number =>
  roomMs === undefined
    ? NO_UPSTREAM_RETRY_AFTER_MS
    : Math.max(NO_UPSTREAM_RETRY_AFTER_MS, roomMs) * (1 + RETURN_SPREAD * random.next());
