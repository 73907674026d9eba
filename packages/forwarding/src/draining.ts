import { getPassMs } from "./engineModel.js";
import type { EngineSpec, Route } from "./fleetConfig.js";
import type { RequestHead } from "./types.js";

/** Callers may go on using this process's address for this long after it began to drain. */
const ADDRESS_CACHE_MS = 2_800;
/** Time allowed for the first event beyond the latency objective. */
const FIRST_EVENT_MARGIN_MS = 700;
/** Passes that also prefill take longer than decode-only passes by about this factor. */
const PREFILL_PASS_FACTOR = 2.2;
/** Time allowed for a call, as a multiple of its latency objective. */
const CALL_TARGET_FACTOR = 4;

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
 * takes all requests while callers may still use its address.
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
  options.sinceMs <= ADDRESS_CACHE_MS ||
  estimateServiceMs(options.route, options.head, options.engine) <= options.leftMs;
