import { z } from "zod";

/** Speed and capacity of a simulated engine; times are in simulated time. */
export const engineRatesSchema = z.strictObject({
  /** KV memory, tokens. */
  kvTokens: z.number().int().positive().default(400_000),
  /** Maximum number of streams in one batch. */
  maxStreams: z.number().int().positive().default(16),
  /** Maximum number of prompt tokens prefilled in one step. */
  chunkTokens: z.number().int().positive().default(512),
  prefillTokensPerS: z.number().positive().default(20_000),
  /** Fixed cost of a step, milliseconds. */
  overheadMs: z.number().nonnegative().default(2),
  /** Time to read the weights from memory once, a lower bound of a step, milliseconds. */
  weightsMs: z.number().positive().default(18),
  /** Additional time of a step for each decoding stream, milliseconds. */
  perStreamMs: z.number().nonnegative().default(0.15),
  /** Rate at which KV is imported from other engines, tokens per second. */
  importTokensPerS: z.number().positive().default(400_000),
  /** Time to load a model version, milliseconds. */
  loadMs: z.number().nonnegative().default(3_000),
});
export type EngineRates = z.infer<typeof engineRatesSchema>;

const MS_PER_S = 1_000;

/**
 * Duration of a step that decodes a token of `streams` streams and prefills `prefillTokens`,
 * milliseconds. Memory reads and prefill computation overlap, so the longer one counts.
 */
export const getStepMs = (rates: EngineRates, streams: number, prefillTokens: number): number => {
  const memoryMs = rates.weightsMs + streams * rates.perStreamMs;
  const computeMs = (prefillTokens / rates.prefillTokensPerS) * MS_PER_S;
  return rates.overheadMs + Math.max(memoryMs, computeMs);
};

/** Time to the first token of a prompt that runs alone on an idle engine, milliseconds. */
export const getIdleFirstTokenMs = (rates: EngineRates, promptTokens: number): number => {
  const fullChunks = Math.floor(promptTokens / rates.chunkTokens);
  const remainder = promptTokens - fullChunks * rates.chunkTokens;
  const fullChunksMs = fullChunks * getStepMs(rates, 0, rates.chunkTokens);
  return fullChunksMs + (remainder > 0 ? getStepMs(rates, 0, remainder) : 0);
};

/** Time to the complete answer of a prompt that runs alone on an idle engine, milliseconds. */
export const getIdleAnswerMs = (
  rates: EngineRates,
  promptTokens: number,
  outputTokens: number,
): number =>
  getIdleFirstTokenMs(rates, promptTokens) + Math.max(0, outputTokens - 1) * getStepMs(rates, 1, 0);
