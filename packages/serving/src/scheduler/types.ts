import { z } from "zod";

/** Request for a grant: the right to run on one engine of a pool, or on a group of them. */
export const acquireSchema = z.object({
  id: z.string(),
  pool: z.string(),
  model: z.string(),
  className: z.string(),
  priority: z.number().int(),
  customer: z.string(),
  weight: z.number(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  fingerprint: z.string(),
  prefixBlocks: z.array(z.string()),
  /** Time left until the request's deadline, milliseconds. */
  remainingMs: z.number(),
  /** Time since the request was accepted, milliseconds. */
  waitedMs: z.number(),
  /** Engines on which an earlier attempt of the request failed. */
  excluded: z.array(z.string()),
  /** Prefill rate of one engine of the model. */
  prefillTokensPerS: z.number(),
  /** KV memory of one engine of the model. */
  engineKvTokens: z.number(),
  /** Number of engines that the prompt is split across; 1 when it fits on one engine. */
  parts: z.number().int().positive(),
  maxStreams: z.number().int(),
});
export type AcquireRequest = z.infer<typeof acquireSchema>;

/** Right to run a request on an engine. */
export interface GrantInfo {
  readonly id: string;
  readonly engine: string;
  /** The request runs in isolation: the engine has no other grant meanwhile. */
  readonly isAlone: boolean;
}

/** How a grant was used, as its holder reports it on release. */
export const GrantEnd = {
  /** The answer was complete. */
  Done: "done",
  /** The connection broke; the engine may have died. */
  Broken: "broken",
  /** The engine answered that it takes no new work. */
  Refused: "refused",
  /** The grant was not used. */
  Unused: "unused",
} as const;
export type GrantEnd = (typeof GrantEnd)[keyof typeof GrantEnd];

/** A grant as its holder reports it on renewal; a new owner of the pool adds it to its state. */
export const heldGrantSchema = z.object({
  id: z.string(),
  engine: z.string(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  fingerprint: z.string(),
  isAlone: z.boolean(),
  hasFirstToken: z.boolean(),
});
export type HeldGrant = z.infer<typeof heldGrantSchema>;

/** Reasons for which a scheduler rejects a request. */
export const RejectionCode = {
  Overloaded: "overloaded",
  TooLarge: "too_large",
  Timeout: "queue_timeout",
  Blocked: "blocked",
  NoEngine: "no_engine",
} as const;
export type RejectionCode = (typeof RejectionCode)[keyof typeof RejectionCode];

export const acquireAnswerSchema = z.discriminatedUnion("result", [
  z.object({
    result: z.literal("granted"),
    id: z.string(),
    /** Engine that generates the answer. */
    engine: z.string(),
    /** Engines that hold the prompt's parts in order; the last one generates the answer. */
    members: z.array(z.string()),
    isAlone: z.boolean(),
  }),
  z.object({
    result: z.literal("refused"),
    code: z.enum(RejectionCode),
    message: z.string(),
    retryAfterMs: z.number(),
  }),
]);
export type AcquireAnswer = z.infer<typeof acquireAnswerSchema>;
