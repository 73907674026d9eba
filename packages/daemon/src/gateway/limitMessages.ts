import { newRpcMethod } from "@lycheepulley/nodes";
import { z } from "zod";

/** Reports told in one message, which has to fit into a datagram. */
export const MAX_REPORTS = 100;

const limitSchema = z.object({
  upstream: z.string(),
  perSecond: z.number().nonnegative().optional(),
  /** Time since the request went out and the head of its answer arrived. */
  sentAgoMs: z.number(),
  receivedAgoMs: z.number(),
});
/** What an answer said of an upstream's limit. */
export type LimitMessage = z.output<typeof limitSchema>;

/** Limits that a process learned from answers. */
export const limitsSchema = z.object({ limits: z.array(limitSchema).max(MAX_REPORTS) });

const coldSchema = z.object({
  upstream: z.string(),
  leftMs: z.number().nonnegative(),
  perSecond: z.number().positive(),
});

/** Upstreams that are cold. */
export const coldReportSchema = z.object({ cold: z.array(coldSchema).max(MAX_REPORTS) });

/** Asks the owner of an upstream's quota for one send. */
export const askMethod = newRpcMethod(
  "limit.take",
  z.object({ host: z.string(), limit: limitSchema, cold: coldSchema.optional() }),
  z.object({
    isGranted: z.boolean(),
    retryMs: z.number().nonnegative(),
    /** Absent in answers of builds that don't know cold upstreams, and grant any number of sends. */
    isCounted: z.boolean().optional(),
    /** What the owner knows of the limit, when the asking process knows another. */
    limit: limitSchema.optional(),
  }),
);

/** Tells the owner of a call that couldn't wait for its grant. */
export const chargeSchema = z.object({ limit: limitSchema });
