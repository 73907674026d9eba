import { RefusalCode, type AcquireAnswer, type AcquireRequest } from "./types.js";

const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 30_000;
const MS_PER_S = 1_000;

/** Time to compute the prompts ahead of a request, spread over the pool, and its own. */
export const estimateWaitMs = (
  req: AcquireRequest,
  waiting: readonly AcquireRequest[],
  engines: number,
): number => {
  if (engines === 0) {
    return 0;
  }
  const ahead = waiting
    .filter((other) => other.priority <= req.priority)
    .reduce((sum, other) => sum + other.promptTokens, 0);
  const perMs = req.prefillTokensPerS / MS_PER_S;
  return ahead / (perMs * engines) + req.promptTokens / perMs;
};

/** Time in which the queue drains, as advice to a refused caller. */
export const getRetryAfterMs = (waiting: readonly AcquireRequest[], engines: number): number => {
  const tokens = waiting.reduce((sum, req) => sum + req.promptTokens, 0);
  const rate = (waiting[0]?.prefillTokensPerS ?? 1) * Math.max(1, engines);
  const drainMs = Math.round((tokens / rate) * MS_PER_S);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
};

/** Answer for a fingerprint that has crashed its upstreams. */
export const newBlocked = (): AcquireAnswer => ({
  result: "refused",
  code: RefusalCode.Blocked,
  message: "this prompt has crashed its upstreams and is blocked",
  retryAfterMs: 0,
});
