import { claimBodySchema, fateSchema, foldSnapshotSchema } from "@lycheepulley/core";
import { z } from "zod";

import { newRpcMethod } from "./rpc.js";

/** State of an entry process as other processes see it. */
export const NodeState = {
  Joining: "joining",
  Live: "live",
  Suspect: "suspect",
  Leaving: "leaving",
  Gone: "gone",
} as const;
export type NodeState = (typeof NodeState)[keyof typeof NodeState];

/** What a process reports of itself in heartbeats. */
export const nodeReportSchema = z.object({
  name: z.string(),
  incarnation: z.number(),
  failureDomain: z.string(),
  host: z.string(),
  port: z.number().int(),
  controlPort: z.number().int(),
  state: z.enum([NodeState.Joining, NodeState.Live, NodeState.Leaving]),
  /** Increases with each change of the report. */
  version: z.number().int(),
  configRevision: z.number().int(),
  configDigest: z.string(),
  /** Requests in flight. */
  load: z.number(),
});
export type NodeReport = z.infer<typeof nodeReportSchema>;

/** A member: name, incarnation, version of its report, milliseconds since its last sign of life. */
export const digestEntrySchema = z.tuple([
  z.string(),
  z.number(),
  z.number().int(),
  z.number().int(),
]);
export type DigestEntry = z.infer<typeof digestEntrySchema>;

/** Another failure domain: name, digest of its members, age of the digest in milliseconds. */
export const domainEntrySchema = z.tuple([z.string(), z.string(), z.number().int()]);
export type DomainEntry = z.infer<typeof domainEntrySchema>;

/** Membership state that two processes exchange in a heartbeat. */
export const gossipSchema = z.object({
  /** Name and incarnation of the sender. */
  from: z.tuple([z.string(), z.number()]),
  /** Members of the failure domains that are sent in full. */
  members: z.array(digestEntrySchema),
  /** The other failure domains, each as one digest. */
  domains: z.array(domainEntrySchema),
  /** Reports that the receiver probably lacks. */
  reports: z.array(nodeReportSchema),
  /** Failure domains whose members the sender asks for in full. */
  wanted: z.array(z.string()),
});
export type Gossip = z.infer<typeof gossipSchema>;

/** Heartbeat: the sender's gossip, answered with the receiver's. */
export const heartbeatMethod = newRpcMethod("node.heartbeat", gossipSchema, gossipSchema);

/** Newest folded state of a log stream, for a process that starts while the log is unavailable. */
export const snapshotMethod = newRpcMethod(
  "node.snapshot",
  z.object({ stream: z.string() }),
  foldSnapshotSchema.nullable(),
);

/** A request's claim of an idempotency key. */
export const claimRequestSchema = z.object({
  key: z.string(),
  requestId: z.string(),
  holder: z.string(),
  bodySha256: z.string(),
  deadlineMs: z.number(),
});

/** Answer of a claim shard's owner to a request that claims a key. */
export const claimAnswerSchema = z.discriminatedUnion("result", [
  z.object({ result: z.literal("granted"), version: z.number().int(), claim: claimBodySchema }),
  z.object({ result: z.literal("replay"), claim: claimBodySchema }),
  z.object({ result: z.literal("in_progress"), claim: claimBodySchema }),
  z.object({ result: z.literal("refused_body") }),
  z.object({ result: z.literal("unavailable"), message: z.string() }),
]);
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;

/** Claims a key; waits at most `waitMs` for the log and for a claim in progress. */
export const claimMethod = newRpcMethod(
  "claim.claim",
  z.object({ shard: z.number().int(), request: claimRequestSchema, waitMs: z.number() }),
  claimAnswerSchema,
);

/** Ends a claim with the final state and outcome of the request that holds it. */
export const claimEndMethod = newRpcMethod(
  "claim.end",
  z.object({
    shard: z.number().int(),
    key: z.string(),
    requestId: z.string(),
    state: claimBodySchema.shape.state,
    outcome: claimBodySchema.shape.outcome,
    waitMs: z.number(),
  }),
  z.object({ done: z.boolean() }),
);

/** Fate of a request that the called process accepted; null when it has no such request. */
export const fateMethod = newRpcMethod(
  "node.fate",
  z.object({ requestId: z.string() }),
  fateSchema.nullable(),
);

/** Status that a process reports to operators. */
export const nodeStatusSchema = z.object({
  report: nodeReportSchema,
  members: z.array(
    z.object({
      name: z.string(),
      failureDomain: z.string(),
      state: z.enum(NodeState),
      ageMs: z.number(),
      host: z.string(),
      port: z.number(),
      controlPort: z.number(),
      configRevision: z.number(),
      configDigest: z.string(),
    }),
  ),
  duties: z.array(z.object({ duty: z.string(), epoch: z.number() })),
  pools: z.array(z.string()),
  isLogCaughtUp: z.boolean(),
  uptimeMs: z.number(),
  cpuMs: z.number(),
  rssBytes: z.number(),
  logAppends: z.number(),
  logReads: z.number(),
  connections: z.number(),
  /** Longest delay of the event loop since the status was last read, milliseconds. */
  loopDelayMaxMs: z.number(),
  sentBytes: z.number(),
  receivedBytes: z.number(),
  traffic: z.record(
    z.string(),
    z.object({ sentBytes: z.number(), receivedBytes: z.number(), calls: z.number() }),
  ),
  freedHoldings: z.number(),
  claimKeys: z.number(),
  queued: z.number(),
});
export type NodeStatus = z.infer<typeof nodeStatusSchema>;

/** Status of the called process. */
export const statusMethod = newRpcMethod("node.status", z.object({}), nodeStatusSchema);

/** An engine as the owner of its pool sees it. */
export const upstreamStatusSchema = z.object({
  pool: z.string(),
  engine: z.string(),
  failureDomain: z.string(),
  health: z.string(),
  isLeaving: z.boolean(),
  model: z.string(),
  requests: z.number(),
  outstandingTokens: z.number(),
});

/** Engines of the pools that the called process owns. */
export const upstreamsMethod = newRpcMethod(
  "node.upstreams",
  z.object({}),
  z.array(upstreamStatusSchema),
);

/** Starts a drain of the called process. */
export const drainMethod = newRpcMethod(
  "node.drain",
  z.object({ by: z.string() }),
  z.object({ accepted: z.boolean() }),
);
