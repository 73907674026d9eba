import type { EngineSpec } from "./fleetConfig.js";

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/** Milliseconds of prefill when `members` engines share a prompt in equal parts. */
export const getReadMs = (engine: EngineSpec, tokens: number, members = 1): number => {
  const pairs = (tokens * tokens) / 2;
  const totalMs =
    tokens / engine.readTokensPerMs + (pairs / PAIRS_PER_MILLION) * engine.msPerMillionPairs;
  return totalMs / members;
};

/** Milliseconds of one pass that decodes `sequences` sequences and prefills nothing. */
export const getPassMs = (engine: EngineSpec, sequences: number, contextTokens: number): number => {
  const stepMs =
    engine.stepMs +
    sequences * engine.stepMsPerSequence +
    (contextTokens / TOKENS_PER_THOUSAND) * engine.stepMsPerThousandContext;
  return engine.stepsPerPass * stepMs;
};
