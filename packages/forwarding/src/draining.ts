import { getPassMs } from "./engineModel.js";
import type { EngineSpec, Route } from "./fleetConfig.js";
import type { ForwardRequest, RequestHead } from "./types.js";

/** Time for which callers may keep an answer that names addresses. */
export const ADDRESS_TTL_MS = 1_000;
/** Some callers keep an answer for up to this many times its `ADDRESS_TTL_MS`. */
const MAX_ADDRESS_TTLS = 3;
/** Callers may go on using this process's address for this long after it began to drain. */
export const ADDRESS_CACHE_MS = MAX_ADDRESS_TTLS * ADDRESS_TTL_MS;
/** Allowed for the news of the drain to reach the peers, and for requests on their way. */
const TRAVEL_MARGIN_MS = 200;
/** The listener closes this long after the start of the drain: no caller uses the address then. */
export const LISTENER_CLOSE_DELAY_MS = ADDRESS_CACHE_MS + TRAVEL_MARGIN_MS;
/**
 * Until then a draining process takes all requests. It ends a little before the
 * last caches do, as callers that are refused after it are about to get other addresses.
 */
const ANY_REQUEST_MS = ADDRESS_CACHE_MS - TRAVEL_MARGIN_MS;
/** Time allowed for the first event beyond the latency objective. */
const FIRST_EVENT_MARGIN_MS = 700;
/** Passes that also prefill take longer than decode-only passes by about this factor. */
const PREFILL_PASS_FACTOR = 2.2;
/** Time allowed for a call, as a multiple of its latency objective. */
const CALL_TARGET_FACTOR = 4;
/** Time for which an upstream is looked for, also when the answer may come too late. */
const MIN_SEARCH_MS = 200;

/** Estimated time from receipt to the complete answer, milliseconds. */
export const estimateServiceMs = (
  route: Route,
  head: Pick<RequestHead, "outputTokens">,
  engine: EngineSpec | undefined,
): number => {
  if (!engine || head.outputTokens === 0) {
    return Math.min(route.timeoutMs, CALL_TARGET_FACTOR * route.targetMs);
  }
  const passes = Math.ceil(head.outputTokens / engine.stepsPerPass);
  const passMs = PREFILL_PASS_FACTOR * getPassMs(engine, 1, 0);
  return Math.min(route.timeoutMs, route.targetMs + FIRST_EVENT_MARGIN_MS + passes * passMs);
};

/**
 * Tells whether a draining process can finish a request that arrives now. It
 * takes all requests while most callers may still use its address.
 */
export const canFinishWhileDraining = (options: {
  route: Route;
  head: Pick<RequestHead, "outputTokens">;
  engine: EngineSpec | undefined;
  /** Time since the process began to drain. */
  sinceMs: number;
  /** Time until the process exits. */
  leftMs: number;
}): boolean =>
  options.sinceMs <= ANY_REQUEST_MS ||
  estimateServiceMs(options.route, options.head, options.engine) <= options.leftMs;

/**
 * Time for which a request may still wait for an upstream before its answer would be cut by the end of
 * the process in `leftMs`, milliseconds.
 */
export const getSearchMs = (
  { route, head }: Pick<ForwardRequest, "route" | "head">,
  engine: EngineSpec | undefined,
  leftMs: number,
): number => Math.max(MIN_SEARCH_MS, leftMs - estimateServiceMs(route, head, engine));
