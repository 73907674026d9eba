import { getPassMs } from "./engineModel.js";
import type { EngineSpec, Route } from "./fleetConfig.js";
import type { RequestHead } from "./types.js";

/** Callers may still hold this process's address for so long after it began to leave. */
const FAREWELL_MS = 2_800;
/** Time to the first event that is allowed for. */
const FIRST_EVENT_MS = 700;
/** Passes take longer than those of writers alone by about this factor. */
const PASS_FACTOR = 2.2;
/** A call is given this multiple of its objective. */
const CALL_FACTOR = 4;

/** Time that a request is allowed for from receipt to the whole answer, milliseconds. */
export const estimateServiceMs = (
  route: Route,
  head: Pick<RequestHead, "outputTokens">,
  engine: EngineSpec | undefined,
): number => {
  if (!engine || head.outputTokens === 0) {
    return Math.min(route.timeoutMs, CALL_FACTOR * route.targetMs);
  }
  const passes = Math.ceil(head.outputTokens / engine.stepsPerPass);
  const passMs = PASS_FACTOR * getPassMs(engine, 1, 0);
  return Math.min(route.timeoutMs, route.targetMs + FIRST_EVENT_MS + passes * passMs);
};

/** Tells whether a process that is leaving can still finish a request that arrives now. */
export const canFinishWhileDraining = (options: {
  route: Route;
  head: Pick<RequestHead, "outputTokens">;
  engine: EngineSpec | undefined;
  /** Time since the process began to leave. */
  sinceMs: number;
  /** Time until it ends. */
  leftMs: number;
}): boolean =>
  options.sinceMs <= FAREWELL_MS ||
  estimateServiceMs(options.route, options.head, options.engine) <= options.leftMs;
