import { engineSpecSchema } from "@lycheepulley/forwarding";
import { z } from "zod";

/** One kind of prompt and its objectives. */
export const promptClassSchema = z.object({
  name: z.string().min(1),
  perSecond: z.number().nonnegative(),
  promptTokens: z.object({ mean: z.number().positive(), spread: z.number(), max: z.number() }),
  outputTokens: z.object({ mean: z.number().positive(), spread: z.number(), max: z.number() }),
  /** Most tokens that callers allow, and the spread of the estimates that half of them give. */
  stated: z.object({ limitTokens: z.number().positive(), hintSpread: z.number() }).optional(),
  targetMs: z.number().positive(),
  maxGapMs: z.number().positive(),
  deadlineMs: z.number().positive(),
  /** Worth of an answer in time, and of a late one. */
  worth: z.number().positive(),
  lateWorth: z.number().nonnegative(),
});
export type PromptClass = z.infer<typeof promptClassSchema>;

/** A change of the rates for some time: a factor for each class of prompts. */
export const surgeSchema = z.object({
  atMs: z.number(),
  forMs: z.number().positive(),
  factors: z.record(z.string(), z.number().nonnegative()),
});

export type Surge = z.infer<typeof surgeSchema>;

/** Something that happens to upstreams or entry processes. */
export const incidentSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("replace"),
    atMs: z.number(),
    /** Upstreams replaced one after the other, with this pause between. */
    count: z.number().int().positive(),
    gapMs: z.number().positive(),
  }),
  z.object({
    kind: z.literal("scaleIn"),
    atMs: z.number(),
    count: z.number().int().positive(),
  }),
  z.object({
    kind: z.literal("crash"),
    atMs: z.number(),
    count: z.number().int().positive(),
    backMs: z.number().positive(),
  }),
  z.object({
    kind: z.literal("limit"),
    atMs: z.number(),
    count: z.number().int().positive(),
    /** Requests a second that each of the upstreams names as its limit. */
    perSecond: z.number().nonnegative(),
    forMs: z.number().positive(),
  }),
  z.object({
    kind: z.literal("crashingPart"),
    atMs: z.number(),
    forMs: z.number().positive(),
    /** Prompts a second with a part that crashes each upstream that begins to write an answer on it. */
    perSecond: z.number().positive(),
    /** Time until the successor of a crashed upstream starts. */
    backMs: z.number().positive(),
  }),
  /** Upstreams become cold again at the same moment. */
  z.object({
    kind: z.literal("coldReturn"),
    atMs: z.number(),
    count: z.number().int().positive(),
  }),
  z.object({ kind: z.literal("restart"), atMs: z.number(), downMs: z.number().positive() }),
]);
export type Incident = z.infer<typeof incidentSchema>;

/** A customer, the part of all requests that are usually its own, and times at which it asks for more or less. */
export const simulatedCustomerSchema = z.object({
  name: z.string().min(1),
  part: z.number().positive(),
  surges: z
    .array(z.object({ atMs: z.number(), forMs: z.number(), factor: z.number().nonnegative() }))
    .optional(),
});

/** Failure domains of processes, upstreams and callers, which are spread over them evenly. */
export const domainSpreadSchema = z.object({
  domains: z.number().int().positive(),
  /** Placement weighs the crossing between them. */
  weighs: z.boolean(),
  /** Waves of the callers, out of phase: period, and swing as a share of the mean. */
  periodMs: z.number().positive(),
  swing: z.number().min(0).max(1),
});
export type DomainSpreadSpec = z.infer<typeof domainSpreadSchema>;

/** What upstreams are like for some time after a start during the play, or when they become cold again. */
export const coldSpecSchema = z.object({
  durationMs: z.number().positive(),
  /** Requests a second that all processes together may send to a cold upstream. */
  perSecond: z.number().positive(),
  /** Times of a cold upstream as a multiple of the usual ones. */
  pace: z.number().positive(),
  /** The processes know of it: of the rate, and that work takes longer. */
  isKnown: z.boolean(),
});

/** A deployment and the load and incidents that it goes through. */
export const patternSchema = z.object({
  name: z.string().min(1),
  lengthMs: z.number().positive(),
  processes: z.number().int().positive(),
  upstreams: z.number().int().positive(),
  engine: engineSpecSchema,
  chunkTokens: z.number().int().positive(),
  queueSlots: z.number().int().nonnegative(),
  /** Times of the upstreams by turns, as multiples of those that the engine's constants give. */
  paces: z.array(z.number().positive()).optional(),
  /** Load changes reach other processes in batches at this interval, as through relays. */
  loadBatchMs: z.number().positive().optional(),
  /** Processes ask one of their failure domain for loads, and only these hear of all requests. */
  failureDomains: z.number().int().positive().optional(),
  /** Absent for upstreams that are never cold. */
  cold: coldSpecSchema.optional(),
  /** Absent for a fleet in one failure domain. */
  spread: domainSpreadSchema.optional(),
  /** First parts that the prompts of a class share, if they share any. */
  firstParts: z.number().int().positive().optional(),
  classes: z.array(promptClassSchema).min(1),
  /** Customers, whose parts add up to 1; absent for callers without keys. */
  customers: z.array(simulatedCustomerSchema).optional(),
  /** Customers have shares of the fleet. */
  sharesRoom: z.boolean().optional(),
  surges: z.array(surgeSchema),
  incidents: z.array(incidentSchema),
});
export type Pattern = z.infer<typeof patternSchema>;
