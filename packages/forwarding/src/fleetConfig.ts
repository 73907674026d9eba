import { z } from "zod";

import { listPositionSchema } from "./sources/listPosition.js";

/** Whether a request may be run again when it may already have run. */
export const Repeat = {
  /** May run any number of times. */
  Idempotent: "idempotent",
  /** May run at most once for each attempt of the caller. */
  AtMostOnce: "at_most_once",
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

const weightedPoolSchema = z.object({ pool: z.string().min(1), weight: z.number().nonnegative() });

/** One route: which requests it matches and which pools they are sent to. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  repeat: z.enum([Repeat.Idempotent, Repeat.AtMostOnce]),
  /** The answer is a stream of events. */
  isStream: z.boolean(),
  /** A broken stream may be resumed at another upstream. */
  isResumable: z.boolean(),
  timeoutMs: z.number().positive(),
  /** Latency objective, milliseconds; for streams the time to the first event. */
  targetMs: z.number().positive(),
  /** Objective for the longest gap between two events, milliseconds. */
  maxGapMs: z.number().positive().optional(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  pools: z.array(weightedPoolSchema).min(1),
  /** Most upstreams that one attempt of the caller is sent to. */
  maxAttempts: z.number().int().positive(),
  /** Callers need no API key. */
  isPublic: z.boolean(),
  /** Regions in which its requests are handled; absent for any. */
  homeRegions: z.array(z.string()).optional(),
});
export type Route = z.infer<typeof routeSchema>;

/** Published performance constants of a pool's engines. */
export const engineSpecSchema = z.object({
  slots: z.number().int().positive(),
  kvTokens: z.number().positive(),
  /** Decode steps in a pass that decodes any sequence. */
  stepsPerPass: z.number().int().positive(),
  stepMs: z.number().nonnegative(),
  stepMsPerSequence: z.number().nonnegative(),
  stepMsPerThousandContext: z.number().nonnegative(),
  readTokensPerMs: z.number().positive(),
  msPerMillionPairs: z.number().nonnegative(),
  hopMs: z.number().nonnegative(),
});
export type EngineSpec = z.infer<typeof engineSpecSchema>;

/** What upstreams of a pool bear while they are cold: after their start, and perhaps again later. */
export const coldStartSchema = z.object({
  /** Time that an upstream stays cold. */
  durationMs: z.number().positive(),
  /** Requests a second that a cold upstream takes from all processes together. */
  perSecond: z.number().positive(),
});
export type ColdStart = z.infer<typeof coldStartSchema>;

/** Group of identical upstreams; `engine` is absent for plain services. */
export const poolSchema = z.object({
  name: z.string().min(1),
  engine: engineSpecSchema.optional(),
  /** Absent for upstreams that take the full load from their start. */
  coldStart: coldStartSchema.optional(),
});
export type Pool = z.infer<typeof poolSchema>;

/** A customer and the API keys it holds. */
export const customerSchema = z.object({
  name: z.string().min(1),
  apiKeys: z.array(z.string()),
  /** Takes precedence over the route's priority. */
  priority: z.number().int().nonnegative().optional(),
  /** Regions in which its requests are handled, besides those of the route; absent for any. */
  homeRegions: z.array(z.string()).optional(),
});
export type ForwardCustomer = z.infer<typeof customerSchema>;

/** Limits on what a caller may send. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Everything that operators declare for forwarding, at one revision. */
export const fleetConfigSchema = z.object({
  /** Rises with each configuration. */
  revision: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  pools: z.array(poolSchema),
  /** Absent when callers need no key. */
  customers: z.array(customerSchema).optional(),
  limits: callerLimitsSchema,
});
export type FleetConfig = z.infer<typeof fleetConfigSchema>;

/** Limits until a configuration is known. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** One upstream as the platform lists it. */
export const upstreamSchema = z.object({
  /** Mostly new at each start of the upstream. */
  id: z.string().min(1),
  pool: z.string(),
  host: z.string(),
  port: z.number().int().positive(),
  failureDomain: z.string(),
  slots: z.number().int().positive(),
  isLeaving: z.boolean(),
  /** Start of the upstream, Unix milliseconds; a later one under the same id is another upstream. */
  bornMs: z.number().optional(),
  /** How long the upstream stays cold, as of the write of its entry. */
  coldMs: z.number().nonnegative().optional(),
});
export type Upstream = z.infer<typeof upstreamSchema>;

/** Tells the starts of upstreams apart, also of those that start again under their id. */
export const getStartId = ({ id, bornMs }: Pick<Upstream, "id" | "bornMs">): string =>
  bornMs === undefined ? id : `${id}@${String(bornMs)}`;

/** Fields by which two lists are told apart: those that last as long as the upstream does. */
export const getListedFields = (upstream: Upstream): Omit<Upstream, "coldMs"> => {
  const { id, pool, host, port, failureDomain, slots, isLeaving, bornMs } = upstream;
  return { id, pool, host, port, failureDomain, slots, isLeaving, bornMs };
};

/** Upstreams at one time. Positions are compared with `isListBefore`. */
export const upstreamListSchema = listPositionSchema.extend({
  upstreams: z.array(upstreamSchema),
});
export type UpstreamList = z.infer<typeof upstreamListSchema> & {
  /** This process read it from the listing service itself, so that its times are those of the entries. */
  readonly isDirect?: boolean;
};
