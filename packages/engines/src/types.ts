import { z } from "zod";

/** Load report of an engine; it lags. */
export const engineLoadSchema = z.object({
  atMs: z.number(),
  running: z.number().int(),
  waiting: z.number().int(),
  waitingPrefillTokens: z.number(),
  kvUsedTokens: z.number(),
  kvTotalTokens: z.number(),
  /** The engine's own sign that it takes no new work. */
  leaving: z.boolean(),
  /** Changes with every start of the engine. */
  incarnation: z.string(),
  /** Model that the engine serves; empty while it loads weights. */
  model: z.string(),
});
export type EngineLoad = z.infer<typeof engineLoadSchema>;

export const engineStateSchema = z.object({
  incarnation: z.string(),
  fence: z.number().int(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
  /** True while weights are being loaded. */
  loading: z.boolean(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

export const cacheEventSchema = z.object({
  seq: z.number().int(),
  op: z.enum(["add", "evict", "clear"]),
  /** Hash of a prefix block. */
  block: z.string(),
});

export const cacheEventPageSchema = z.object({
  /** Sequence number that the next event gets. */
  next: z.number().int(),
  events: z.array(cacheEventSchema),
  /** All cached blocks, when the asked position is no longer known. */
  resync: z.array(z.string()).optional(),
});
export type CacheEventPage = z.infer<typeof cacheEventPageSchema>;

export const kvHoldingSchema = z.object({
  id: z.string(),
  owner: z.string(),
  tokens: z.number(),
  kind: z.enum(["reservation", "stream", "export"]),
  termLeftMs: z.number(),
});
export type KvHolding = z.infer<typeof kvHoldingSchema>;

export const orderResultSchema = z.object({
  accepted: z.boolean(),
  /** Highest fencing number that the engine has seen. */
  fence: z.number().int(),
});
export type OrderResult = z.infer<typeof orderResultSchema>;

/** One event of an OpenAI-style stream, chat or text. */
export const completionEventSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().nullish() }).optional(),
        text: z.string().optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .min(1),
});

/** Prefix of every path of the engine extension interface. */
export const EXTENSION_PREFIX = "/ext/v1";

/** Headers of the engine extension interface. */
export const EngineHeader = {
  Attempt: "x-attempt-id",
  Priority: "x-priority",
  TimeoutMs: "x-timeout-ms",
  Reservation: "x-kv-reservation",
  Segments: "x-kv-segments",
} as const;

/** Body field that carries the answer so far when a stream is continued elsewhere. */
export const RESUME_FIELD = "x_resume";
