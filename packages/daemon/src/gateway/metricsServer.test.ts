import { SystemClock } from "@lycheepulley/core";
import { CrashEvidence } from "@lycheepulley/forwarding";
import type { HttpServer } from "@lycheepulley/http";
import { ForwardMetrics, newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";
import { request } from "undici";

import { countBlocked, countByStatus, newMetricsServer } from "./metricsServer.js";

describe("metrics server", () => {
  let evidence: CrashEvidence;
  let server: HttpServer;
  beforeEach(async () => {
    const logger = newSilentLogger();
    evidence = new CrashEvidence({ clock: new SystemClock(), logger, onNews: () => undefined });
    const metrics = new ForwardMetrics({
      ...{ countDetours: () => 0, countResting: () => 0, hasLostLinks: () => false },
      ...{ countLimited: () => 0, countEvacuated: () => 0 },
      countParts: () => countByStatus(evidence.suspects),
      countRequests: () => countBlocked(evidence),
    });
    server = newMetricsServer(metrics, evidence);
    await server.listen("127.0.0.1", 0);
    evidence.recordLoss("u1", ["bad", "other"]);
    evidence.recordLoss("u2", ["bad"]);
    evidence.recordLoss("u3", ["bad"]);
  });
  afterEach(() => server.close());

  const call = async (
    method: "GET" | "DELETE",
    path: string,
  ): Promise<{ status: number; text: string }> => {
    const url = `http://127.0.0.1:${String(server.port)}${path}`;
    const { statusCode, body } = await request(url, { method });
    return { status: statusCode, text: await body.text() };
  };

  it("lists the parts of prompts under suspicion with their losses", async () => {
    const { parts } = JSON.parse((await call("GET", "/prompt-parts")).text) as {
      parts: { part: string; status: string; upstreams: string[]; nextTrialInMs?: number }[];
    };
    expect(parts.map(({ part, status }) => [part, status])).to.deep.equal([
      ["bad", "blocked"],
      ["other", "suspected"],
    ]);
    expect(parts[0]?.upstreams).to.deep.equal(["u1", "u2", "u3"]);
    expect(parts[0]?.nextTrialInMs).to.be.within(29_000, 30_000);
  });

  it("lifts a part, and names one that isn't under suspicion", async () => {
    expect((await call("DELETE", "/prompt-parts/bad")).status).to.equal(200);
    expect(evidence.getStanding(["bad"]).suspects).to.deep.equal([]);
    const unknown = await call("DELETE", "/prompt-parts/none");
    expect(unknown.status).to.equal(404);
    expect(unknown.text).to.contain("part: none");
  });

  it("lists, counts and lifts requests that crashed upstreams", async () => {
    ["v1", "v2", "v3"].forEach((upstream) => {
      evidence.recordLoss(upstream, [], "f1");
    });
    const { requests } = JSON.parse((await call("GET", "/crashing-requests")).text) as {
      requests: { request: string; status: string; upstreams: string[] }[];
    };
    expect(
      requests.map(({ request, status, upstreams }) => [request, status, upstreams]),
    ).to.deep.equal([["f1", "blocked", ["v1", "v2", "v3"]]]);
    const { text } = await call("GET", "/metrics");
    expect(text).to.contain("lycheepulley_blocked_requests 1");
    expect(text).to.contain('lycheepulley_suspect_parts{status="blocked"} 1');
    expect((await call("DELETE", "/crashing-requests/f1")).status).to.equal(200);
    expect(evidence.getStanding([], "f1").blocked).to.equal(undefined);
  });

  it("counts the parts by status among the metrics", async () => {
    const { text } = await call("GET", "/metrics");
    expect(text).to.contain('lycheepulley_suspect_parts{status="blocked"} 1');
    expect(text).to.contain('lycheepulley_suspect_parts{status="suspected"} 1');
  });
});
