import { z } from "zod";

/** A request for a place on one engine of a pool. */
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
  /** Engines on which an attempt has failed. */
  excluded: z.array(z.string()),
  /** Capacity of the model's engines. */
  prefillTokensPerS: z.number(),
  engineKvTokens: z.number(),
  /** Engines among which the prompt is split; 1 for prompts that one engine holds. */
  parts: z.number().int().positive(),
  maxStreams: z.number().int(),
});
export type AcquireRequest = z.infer<typeof acquireSchema>;

/** A place on an engine. */
export interface GrantInfo {
  readonly id: string;
  readonly engine: string;
  /** Nothing else runs on the engine meanwhile. */
  readonly isAlone: boolean;
}

/** How the use of a grant ended. */
export const GrantEnd = {
  /** The answer was whole, or the engine refused or was cancelled in good order. */
  Done: "done",
  /** The stream broke: the engine may have died. */
  Broken: "broken",
  /** The engine said that it takes no work. */
  Refused: "refused",
  /** The place was not used. */
  Unused: "unused",
} as const;
export type GrantEnd = (typeof GrantEnd)[keyof typeof GrantEnd];

/** A grant as its user reports it again, so that a new owner learns of it. */
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

/** Refusals of a scheduler. */
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
    /** Engines that hold the prompt's parts in order, the generating one last. */
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
