import { z } from "zod";

export const completionBodySchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).optional(),
  prompt: z.unknown().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
  x_resume: z.object({ fromSeq: z.number().int(), text: z.string() }).optional(),
});
export type CompletionBody = z.infer<typeof completionBodySchema>;

export const orderSchema = z.object({
  fence: z.number().int(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});
export type Order = z.infer<typeof orderSchema>;

export const reserveSchema = z.object({
  id: z.string(),
  owner: z.string(),
  tokens: z.number().positive(),
  termMs: z.number().positive(),
});

export const exportSchema = z.object({
  body: z.string(),
  fromToken: z.number().int(),
  toToken: z.number().int(),
  segments: z.array(z.string()),
  priority: z.number(),
});

/** Faults that an engine stand-in takes on command. */
export const engineFaultSchema = z.strictObject({
  /** Drops everything and answers again after this long. */
  dieMs: z.number().nonnegative().optional(),
  /** Stops computing for this long while connections stay open. */
  hangMs: z.number().nonnegative().optional(),
  /** Steps take this many times longer. */
  slowFactor: z.number().positive().optional(),
  /** Number of next answers whose connection breaks once the work has begun. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Sends chunks in swapped order and repeats some. */
  shuffleChunks: z.boolean().optional(),
  /** Keeps the memory of cancelled and expired work. */
  forgetToFree: z.boolean().optional(),
  /** Dies when a prompt that holds this text begins. */
  crashOn: z.string().optional(),
  /** Sets or clears the engine's own sign that it leaves. */
  leaving: z.boolean().optional(),
});
export type EngineFault = z.infer<typeof engineFaultSchema>;
