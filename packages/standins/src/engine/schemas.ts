import { z } from "zod";

/** Body of a chat or text completion, as far as the stand-in reads it. */
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

/** Order of the extension interface: the complete desired state of the engine. */
export const orderSchema = z.object({
  fence: z.number().int(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});
export type Order = z.infer<typeof orderSchema>;

/** Request to reserve KV memory. */
export const reserveSchema = z.object({
  id: z.string(),
  owner: z.string(),
  tokens: z.number().positive(),
  termMs: z.number().positive(),
});

/** Request to prefill one segment of a prompt and keep its KV for export. */
export const exportSchema = z.object({
  body: z.string(),
  fromToken: z.number().int(),
  toToken: z.number().int(),
  segments: z.array(z.string()),
  priority: z.number(),
});

/** Faults that an engine stand-in can be told to simulate. */
export const engineFaultSchema = z.strictObject({
  /** Crashes: loses all state and accepts connections again after this long. */
  dieMs: z.number().nonnegative().optional(),
  /** Hangs: computes nothing for this long while connections stay open. */
  hangMs: z.number().nonnegative().optional(),
  /** Factor by which every step takes longer. */
  slowFactor: z.number().positive().optional(),
  /** Number of coming answers whose connection is closed once the work has begun. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Sends chunks out of order and repeats some. */
  shuffleChunks: z.boolean().optional(),
  /** Leaks the KV memory of finished, cancelled and expired work. */
  forgetToFree: z.boolean().optional(),
  /** Crashes when it accepts a prompt that contains this text. */
  crashOn: z.string().optional(),
  /** Whether the engine reports that it is draining and rejects new requests. */
  leaving: z.boolean().optional(),
});
export type EngineFault = z.infer<typeof engineFaultSchema>;
