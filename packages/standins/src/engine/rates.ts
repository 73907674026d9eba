import { z } from "zod";

/** Stated rates of an engine; times are model time. */
export const engineRatesSchema = z.strictObject({
  /** KV memory, tokens. */
  kvTokens: z.number().int().positive().default(400_000),
  /** Most streams in one batch. */
  maxStreams: z.number().int().positive().default(16),
  /** Prompt tokens computed in one step at most. */
  chunkTokens: z.number().int().positive().default(512),
  prefillTokensPerS: z.number().positive().default(20_000),
  /** Fixed cost of a step, milliseconds. */
  overheadMs: z.number().nonnegative().default(2),
  /** Time to read the weights once, which a step can't undercut, milliseconds. */
  weightsMs: z.number().positive().default(18),
  /** Cost of one more decoding stream in a step, milliseconds. */
  perStreamMs: z.number().nonnegative().default(0.15),
  /** Rate at which KV is imported from another engine, tokens a second. */
  importTokensPerS: z.number().positive().default(400_000),
  /** Time to load a model version, milliseconds. */
  loadMs: z.number().nonnegative().default(3_000),
});
export type EngineRates = z.infer<typeof engineRatesSchema>;

const MS_PER_S = 1_000;

/** Duration of one step that decodes `streams` and prefills `prefillTokens`. */
export const getStepMs = (rates: EngineRates, streams: number, prefillTokens: number): number => {
  const memoryMs = rates.weightsMs + streams * rates.perStreamMs;
  const computeMs = (prefillTokens / rates.prefillTokensPerS) * MS_PER_S;
  return rates.overheadMs + Math.max(memoryMs, computeMs);
};

/** Time to the first token of a prompt alone on an idle engine, milliseconds. */
export const getIdleFirstTokenMs = (rates: EngineRates, promptTokens: number): number => {
  const full = Math.floor(promptTokens / rates.chunkTokens);
  const rest = promptTokens - full * rates.chunkTokens;
  const fullMs = full * getStepMs(rates, 0, rates.chunkTokens);
  return fullMs + (rest > 0 ? getStepMs(rates, 0, rest) : 0);
};

/** Time to the whole answer of a prompt alone on an idle engine, milliseconds. */
export const getIdleAnswerMs = (
  rates: EngineRates,
  promptTokens: number,
  outputTokens: number,
): number =>
  getIdleFirstTokenMs(rates, promptTokens) + Math.max(0, outputTokens - 1) * getStepMs(rates, 1, 0);
