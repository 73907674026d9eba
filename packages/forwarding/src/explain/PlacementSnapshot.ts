import { z } from "zod";

import { engineSpecSchema, upstreamSchema } from "../fleetConfig.js";

/** Why an upstream of the pool isn't considered. */
export const RuledOutReason = {
  /** It leaves, or nothing may be sent to it for now, as to one of an evacuated failure domain. */
  Unavailable: "unavailable",
  /** It failed this request before. */
  Failed: "failed",
  /** It asked for rest. */
  Resting: "resting",
  /** The sends that it takes are used up. */
  Limited: "limited",
  /** It was out of reach. */
  Ejected: "ejected",
  /** It isn't in this request's random sample, or has a request that may crash it. */
  NotCompared: "not_compared",
} as const;
export type RuledOutReason = (typeof RuledOutReason)[keyof typeof RuledOutReason];

const ruledOutSchema = z.object({
  upstream: z.string(),
  reason: z.enum(Object.values(RuledOutReason)),
});
export type RuledOut = z.infer<typeof ruledOutSchema>;

const amount = z.number().nonnegative();
const prospect = { targetLeftMs: z.number(), deadlineLeftMs: z.number(), value: amount };

const loadSchema = z.object({
  ...{ inFlight: amount, apart: amount, deferred: amount, helping: amount, pendingReadMs: amount },
  ...{ pendingHelpMs: amount, decoding: amount, kvTokens: amount, contextTokens: amount },
  unseen: amount,
  decodes: z.array(z.object({ maxGapMs: amount, value: amount })),
  prefills: z.array(z.object({ ...prospect, isDecoder: z.boolean() })),
  /** JSON has no infinity: null without an answer that could miss a gap. */
  minGapMs: amount.nullable().transform((ms) => ms ?? Infinity),
  endsMs: z.array(amount),
  claims: z
    .array(
      z.object({
        ...{ id: z.string(), place: amount, inMs: amount, roomMs: amount, forMs: amount },
        tokens: amount,
      }),
    )
    .readonly()
    .optional(),
});

const candidateSchema = z.object({
  ...{ upstream: upstreamSchema, load: loadSchema, failureRate: amount, avoidance: amount },
  ...{ pace: amount.optional(), crossingCost: amount.optional() },
  /** Observations behind the pace, each with what is left of its weight. */
  paceSeen: amount.optional(),
  releases: z
    .array(z.object({ inMs: amount, tokens: amount }))
    .readonly()
    .optional(),
});

/** What decides on a prompt that the upstreams looked at have no memory for. */
const roomSchema = z.object({
  /** All usable upstreams, as far as their loads are known. */
  candidates: z.array(candidateSchema),
  upstreams: amount,
  deadlineLeftMs: z.number(),
  mayReject: z.boolean(),
  targetMs: z.number(),
  standing: z.object({
    ...{ place: amount, waitedMs: amount.optional() },
    ...{ upstreams: z.array(z.string()).readonly(), hasReturned: z.boolean() },
  }),
  /** False while too many prompts of the process wait for another to be promised room. */
  mayPromise: z.boolean(),
});

const requestSchema = z.object({
  ...prospect,
  ...{ promptTokens: amount, outputTokens: amount, maxGapMs: amount, shortGapMs: amount },
  ...{ memoryTokens: amount.optional(), stretch: amount.optional() },
  isLearned: z.boolean().optional(),
});

/** All that decides where a request goes at one moment. */
export const placementSnapshotSchema = z.object({
  /** Monotonic time of the process that took it. */
  atMs: z.number(),
  pool: z.string(),
  /** Age of the oldest load of a peer that counts, milliseconds. */
  loadAgeMs: amount.optional(),
  candidates: z.array(candidateSchema),
  ruledOut: z.array(ruledOutSchema),
  /** Limits and rests of the pool; absent when no upstream may be used. */
  limits: z
    .object({
      /** Upstreams with a limit, whose owners a process asks before it sends something there. */
      upstreams: z.array(z.string()),
      /** Time after which one of the pool takes a request again, and one that the request may use. */
      ...{ returnInMs: amount, openInMs: amount },
      /** The request would wait for that rather than be rejected. */
      isWaited: z.boolean(),
    })
    .optional(),
  /** Usual time of a call; absent when unknown, and for prompts. */
  callMs: amount.optional(),
  /** Latency objective of a call. */
  targetMs: z.number().positive().optional(),
  /** Set for prompts. */
  engine: engineSpecSchema.optional(),
  request: requestSchema.optional(),
  /** Latest time to the first event with which a new prompt is sent at all. */
  latestFirstMs: z.number().optional(),
  isAdmitted: z.boolean().optional(),
  /** Set for prompts without a plan where room is promised. */
  room: roomSchema.optional(),
});
export type PlacementSnapshot = z.infer<typeof placementSnapshotSchema>;
