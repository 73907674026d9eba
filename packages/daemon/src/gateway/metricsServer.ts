import type { ServerResponse } from "node:http";

import { getMessage } from "@lycheepulley/core";
import { HttpServer, sendJson } from "@lycheepulley/http";
import type { ForwardMetrics } from "@lycheepulley/telemetry";

/** Server that answers every path with the metrics. */
export const newMetricsServer = (metrics: ForwardMetrics): HttpServer => {
  const routes = ["GET", "HEAD"].map((method) => ({
    ...{ method, path: "/*" },
    handle: async (_req: unknown, res: ServerResponse): Promise<void> => {
      res.end(await metrics.getText());
    },
  }));
  return new HttpServer(routes, (err, _req, res) => {
    sendJson(res, 500, { error: { message: getMessage(err) } });
  });
};
