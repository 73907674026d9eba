import { z } from "zod";

/** Load report of an engine; it describes the engine at an earlier moment. */
export const engineLoadSchema = z.object({
  atMs: z.number(),
  running: z.number().int(),
  waiting: z.number().int(),
  waitingPrefillTokens: z.number(),
  kvUsedTokens: z.number(),
  kvTotalTokens: z.number(),
  /** True while the engine drains and accepts no new requests. */
  leaving: z.boolean(),
  /** Id of this run of the engine; changes with every restart. */
  incarnation: z.string(),
  /** Model that the engine serves; empty while it loads weights. */
  model: z.string(),
});
export type EngineLoad = z.infer<typeof engineLoadSchema>;

/** State of an engine, as the engine reports it. */
export const engineStateSchema = z.object({
  incarnation: z.string(),
  fence: z.number().int(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
  /** True while the engine loads weights. */
  loading: z.boolean(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** One change of an engine's prefix cache. */
export const cacheEventSchema = z.object({
  seq: z.number().int(),
  op: z.enum(["add", "evict", "clear"]),
  /** Hash of the prefix block; empty for `clear`. */
  block: z.string(),
});

/** Cache events from a requested sequence number on. */
export const cacheEventPageSchema = z.object({
  /** Sequence number that the next event will get. */
  next: z.number().int(),
  events: z.array(cacheEventSchema),
  /** All cached blocks, if the engine no longer has the events from the requested number on. */
  resync: z.array(z.string()).optional(),
});
export type CacheEventPage = z.infer<typeof cacheEventPageSchema>;

/** KV memory that an engine holds under one id. */
export const kvHoldingSchema = z.object({
  id: z.string(),
  owner: z.string(),
  tokens: z.number(),
  kind: z.enum(["reservation", "stream", "export"]),
  termLeftMs: z.number(),
});
export type KvHolding = z.infer<typeof kvHoldingSchema>;

/** Answer of an engine to an order. */
export const orderResultSchema = z.object({
  accepted: z.boolean(),
  /** Highest fencing token that the engine has seen. */
  fence: z.number().int(),
});
export type OrderResult = z.infer<typeof orderResultSchema>;

const choiceSchema = z
  .object({
    index: z.literal(0).optional(),
    delta: z.object({ content: z.string().nullish() }).optional(),
    text: z.string().optional(),
    // Some engines send an empty reason with each chunk but the last.
    finish_reason: z
      .string()
      .nullish()
      .transform((reason) => (reason === "" ? undefined : reason)),
  })
  .refine(
    ({ delta, text, finish_reason: end }) => (delta ?? text ?? end ?? undefined) !== undefined,
    "choice without a chunk",
  );

/** Data of one event of an OpenAI-style stream, of a chat or a text completion with one choice. */
export const completionEventSchema = z.object({ choices: z.array(choiceSchema).min(1) });

/** Path prefix of the engine extension interface. */
export const EXTENSION_PREFIX = "/ext/v1";

/** Request headers of the engine extension interface. */
export const EngineHeader = {
  Attempt: "x-attempt-id",
  Priority: "x-priority",
  TimeoutMs: "x-timeout-ms",
  Reservation: "x-kv-reservation",
  Segments: "x-kv-segments",
} as const;

/** Body field with the answer so far, sent when another engine continues a stream. */
export const RESUME_FIELD = "x_resume";
