import type { ServerResponse } from "node:http";

import { getMessage } from "@lycheepulley/core";
import { SuspectKind, type CrashEvidence, type Suspect } from "@lycheepulley/forwarding";
import { HttpServer, sendJson, type Route } from "@lycheepulley/http";
import type { ForwardMetrics, Logger } from "@lycheepulley/telemetry";

/** Paths under which operators see and lift what is under suspicion. */
const PATHS: readonly (readonly [SuspectKind, path: string, list: string])[] = [
  [SuspectKind.Part, "/prompt-parts", "parts"],
  [SuspectKind.Request, "/crashing-requests", "requests"],
];

/** Number of suspects of one kind by status. */
export const countByStatus = (
  all: readonly Suspect[],
  kind: SuspectKind = SuspectKind.Part,
): Record<string, number> => {
  const counts: Record<string, number> = { suspected: 0, blocked: 0 };
  for (const { status } of all.filter((suspect) => suspect.kind === kind)) {
    counts[status] = (counts[status] ?? 0) + 1;
  }
  return counts;
};

/** Number of requests that aren't sent since they crashed upstreams. */
export const countBlocked = ({ suspects }: Pick<CrashEvidence, "suspects">): number =>
  countByStatus(suspects, SuspectKind.Request)["blocked"] ?? 0;

const describeSuspect = (
  { key, kind, lastLostMs, blockedUntilMs, ...suspect }: Suspect,
  now: number,
): Record<string, unknown> => ({
  ...{ [kind]: key, ...suspect },
  lastLostAgoMs: Math.round(now - lastLostMs),
  ...(blockedUntilMs !== undefined && { nextTrialInMs: Math.round(blockedUntilMs - now) }),
});

/** Server that lists and lifts suspect parts of prompts and requests, and answers every other path with the metrics. */
export const newMetricsServer = (metrics: ForwardMetrics, evidence: CrashEvidence): HttpServer => {
  const metricsRoutes = ["GET", "HEAD"].map((method): Route => ({
    ...{ method, path: "/*" },
    handle: async (_req: unknown, res: ServerResponse): Promise<void> => {
      res.end(await metrics.getText());
    },
  }));
  const suspectRoutes = PATHS.flatMap(([kind, path, list]): Route[] => [
    {
      ...{ method: "GET", path },
      handle: (_req, res) => {
        const now = evidence.now();
        const suspects = evidence.suspects.filter((suspect) => suspect.kind === kind);
        sendJson(res, 200, { [list]: suspects.map((suspect) => describeSuspect(suspect, now)) });
      },
    },
    {
      ...{ method: "DELETE", path: `${path}/:key` },
      handle: (_req, res, { key = "" }) => {
        const isLifted = evidence.lift(key);
        const message = `${kind}: ${key} is not under suspicion at this process`;
        sendJson(res, isLifted ? 200 : 404, isLifted ? { [kind]: key } : { error: { message } });
      },
    },
  ]);
  return new HttpServer([...suspectRoutes, ...metricsRoutes], (err, _req, res) => {
    sendJson(res, 500, { error: { message: getMessage(err) } });
  });
};

/** Has the metrics server listen; a process whose port is taken serves without metrics. */
export const startMetricsServer = (
  server: HttpServer,
  { host, port, logger }: { host: string; port: number; logger: Logger },
): void => {
  server.listen(host, port).catch((err: unknown) => {
    logger.error("metrics server failed", { step: "start", err: getMessage(err) });
  });
};
