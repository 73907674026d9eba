import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]*$/, "must be a lower-case name");
const durationMs = z.number().int().positive();
const tokens = z.number().int().positive();

/** Whether engines of a model reject orders with a stale fencing token. */
export const Fencing = { Enforced: "enforced", Ignored: "ignored" } as const;

export const modelSchema = z.strictObject({
  /** Pool in the VM list whose engines serve this model. */
  pool: name,
  version: z.string().min(1),
  adapters: z.array(name).default([]),
  bytesPerToken: z.number().positive().default(4),
  contextTokens: tokens,
  engineKvTokens: tokens,
  prefillTokensPerS: z.number().positive(),
  maxStreamsPerEngine: z.number().int().positive().default(16),
  minEngines: z.number().int().positive().default(1),
  fencing: z.enum(Fencing).default(Fencing.Ignored),
});
export type ModelConfig = z.infer<typeof modelSchema>;

export const serviceSchema = z.strictObject({
  pool: name,
  timeoutMs: durationMs,
  /** Calls that must not be repeated. */
  nonIdempotent: z
    .array(
      z.strictObject({
        method: z.enum(["POST", "PUT", "PATCH", "DELETE"]),
        pathPrefix: z.string().startsWith("/"),
      }),
    )
    .default([]),
  /** HTTP statuses by which the service states that a call did not run. */
  notRunStatuses: z.array(z.number().int().min(400).max(599)).default([]),
});
export type ServiceConfig = z.infer<typeof serviceSchema>;

export const classSchema = z.strictObject({
  /** How long callers of this class wait for the whole answer. */
  patienceMs: durationMs,
  firstTokenTargetMs: durationMs.optional(),
  /** Requests with a lower number are scheduled first. */
  priority: z.number().int().min(0).max(9).default(5),
  maxPromptTokens: tokens,
  models: z.array(name).min(1),
  /** Requests of this class have side effects and may run at most once. */
  nonIdempotent: z.boolean().default(false),
});
export type ClassConfig = z.infer<typeof classSchema>;

export const customerSchema = z.strictObject({
  weight: z.number().positive().default(1),
  /** Hex SHA-256 of the customer's API key. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hex digits"),
  /** Average rate limit of the customer, prompt tokens per second. */
  promptTokensPerS: z.number().positive().optional(),
});
export type CustomerConfig = z.infer<typeof customerSchema>;

export const limitsSchema = z.strictObject({
  maxBodyBytes: z.number().int().positive().default(16_000_000),
  maxQueuedRequests: z.number().int().positive().default(2_000),
  maxAttempts: z.number().int().min(1).max(10).default(3),
  /** Retry budget: retries as a share of first attempts. */
  retryShare: z.number().min(0).max(1).default(0.1),
  /** How long callers cache an answer of /v1/address. */
  addressKeepMs: durationMs.default(15_000),
  /** How long an idempotency key is remembered. */
  claimWindowMs: durationMs.default(3_600_000),
  claimShards: z.number().int().min(1).max(4_096).default(6),
  /** How long the platform's log retains records. */
  logRetentionMs: durationMs.default(86_400_000),
  /** Log appends per second, shared by all processes. */
  appendsPerS: z.number().positive().default(300),
});
export type LimitsConfig = z.infer<typeof limitsSchema>;

export const fleetSchema = z.strictObject({
  fleet: name,
  sites: z.array(name).min(1),
  models: z.record(name, modelSchema),
  services: z.record(name, serviceSchema).default({}),
  classes: z.record(name, classSchema),
  customers: z.record(name, customerSchema),
  limits: limitsSchema.prefault({}),
});
export type FleetConfig = z.infer<typeof fleetSchema>;
