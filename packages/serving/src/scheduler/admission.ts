import type { EngineView } from "@lycheepulley/core";

import { RejectionCode, type AcquireAnswer, type AcquireRequest } from "./types.js";

const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 30_000;
const MS_PER_S = 1_000;

/**
 * Estimates the time until a request's prefill is done: the prefill of queued requests of the same
 * or a more urgent priority, spread over the live engines, and then its own on one engine.
 */
const estimateWaitMs = (
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

/** State of a pool on which admission decides. */
interface PoolLoad {
  readonly waiting: readonly AcquireRequest[];
  readonly maxQueued: number;
  readonly engines: number;
  readonly liveEngines: number;
}

/** Returns why a request is rejected on arrival; undefined when it may be queued. */
export const findRejection = (
  req: AcquireRequest,
  { waiting, maxQueued, engines, liveEngines }: PoolLoad,
): { readonly code: RejectionCode; readonly message: string } | undefined => {
  const needed = req.promptTokens + req.outputTokens;
  if (needed > req.engineKvTokens * engines) {
    const message = `needs ${String(needed)} tokens of KV memory; the pool's engines have less`;
    return { code: RejectionCode.TooLarge, message };
  }
  if (waiting.length >= maxQueued) {
    return { code: RejectionCode.Overloaded, message: "queue is full" };
  }
  if (estimateWaitMs(req, waiting, liveEngines) > req.remainingMs) {
    const message = "can't end within the class's time under the present load";
    return { code: RejectionCode.Overloaded, message };
  }
  return undefined;
};

/** Estimated time until the queue is empty, bounded, as the retry-after of a rejected caller. */
export const getRetryAfterMs = (waiting: readonly AcquireRequest[], engines: number): number => {
  const tokens = waiting.reduce((sum, req) => sum + req.promptTokens, 0);
  const rate = (waiting[0]?.prefillTokensPerS ?? 1) * Math.max(1, engines);
  const drainMs = Math.round((tokens / rate) * MS_PER_S);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
};

/** Rejects a prompt whose fingerprint is blocked because it crashed its upstreams. */
export const newBlockedAnswer = (): AcquireAnswer => ({
  result: "refused",
  code: RejectionCode.Blocked,
  message: "this prompt has crashed its upstreams and is blocked",
  retryAfterMs: 0,
});

/**
 * Chooses one engine for each part of a split prompt, the least loaded ones first. Returns none
 * unless every part fits in the KV memory of its engine.
 */
export const chooseGroup = (
  req: AcquireRequest,
  engines: readonly EngineView[],
): readonly EngineView[] => {
  const partTokens = Math.ceil(req.promptTokens / req.parts) + req.outputTokens;
  const fitting = engines
    .filter(({ requests, maxStreams }) => requests < maxStreams)
    .filter(({ kvReservedTokens, kvTotalTokens }) => kvReservedTokens + partTokens <= kvTotalTokens)
    .sort((a, b) => a.longPrefills - b.longPrefills || a.outstandingTokens - b.outstandingTokens);
  return fitting.length < req.parts ? [] : fitting.slice(0, req.parts);
};
