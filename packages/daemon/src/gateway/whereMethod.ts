import {
  EstimateKind,
  placementSnapshotSchema,
  type FleetView,
  type Forwarder,
  type ForwardRequest,
  type Route,
} from "@lycheepulley/forwarding";
import type { Clock } from "@lycheepulley/core";
import { newRpcMethod } from "@lycheepulley/nodes";
import { z } from "zod";

export { explainPlacement, type PlacementExplanation } from "@lycheepulley/forwarding";

const tokens = z.number().int().nonnegative();

/** A request as an operator describes it. */
export const describedRequestSchema = z.object({
  route: z.string().min(1),
  customer: z.string().optional(),
  /** 0 for a call to a plain service. */
  promptTokens: tokens,
  /** Most tokens of the answer. */
  outputTokens: tokens,
  /** The caller's own estimate of the tokens of the answer. */
  outputHint: tokens.optional(),
});
export type DescribedRequest = z.infer<typeof describedRequestSchema>;

/** What a process knows about where a request would go, to be explained anywhere. */
export const whereAnswerSchema = z.object({
  /** Host of the process that was asked. */
  process: z.string(),
  request: describedRequestSchema,
  /** Age of the upstream list that it goes by, milliseconds. */
  listAgeMs: z.number(),
  revision: z.number(),
  snapshot: placementSnapshotSchema,
  /** Errors of its estimates of the last minutes, as factors between estimate and truth. */
  errors: z.array(
    z.object({
      kind: z.enum(Object.values(EstimateKind)),
      count: z.number(),
      p50: z.number(),
      p95: z.number(),
    }),
  ),
});
export type WhereAnswer = z.output<typeof whereAnswerSchema>;

/** Asks a process where a request would go now. */
export const whereMethod = newRpcMethod(
  "placement.where",
  describedRequestSchema,
  whereAnswerSchema,
);

const findRoute = (view: FleetView, name: string): Route => {
  const routes = view.table?.config.routes ?? [];
  const route = routes.find((known) => known.name === name);
  if (!route) {
    const known = routes.map((one) => one.name).join(", ");
    throw new Error(`route: unknown "${name}"; known are ${known}`);
  }
  return route;
};

/** Answers {@link whereMethod} in a process. */
export const answerWhere = async (
  request: DescribedRequest,
  options: { clock: Clock; view: FleetView; forwarder: Forwarder; host: string },
): Promise<z.input<typeof whereAnswerSchema>> => {
  const { clock, view, forwarder, host } = options;
  const route = findRoute(view, request.route);
  const { promptTokens, outputTokens, outputHint, customer } = request;
  const req: ForwardRequest = {
    head: {
      ...{ attemptId: "", method: "POST", path: route.pathPrefix, host: route.host, headers: [] },
      ...{ deadlineMs: undefined, apiKey: undefined, promptTokens, outputTokens, outputHint },
      ...{ lastEventId: undefined, sharedParts: [] },
    },
    ...{ route, body: Buffer.alloc(0), customer, priority: route.priority },
    ...{ revision: view.revision, receivedMs: clock.now(), fingerprint: "" },
    signal: new AbortController().signal,
  };
  const snapshot = await forwarder.explain(req);
  const listAgeMs = Math.max(0, clock.now() - view.listedMs);
  const errors = forwarder.estimateErrors;
  return { process: host, request, listAgeMs, revision: view.revision, snapshot, errors };
};
