import type { TrafficMeter } from "@lycheepulley/core";
import type { NodeStatus, upstreamStatusSchema } from "@lycheepulley/nodes";
import type { z } from "zod";

import type { DutyRunner } from "../duties/DutyRunner.js";
import type { Membership } from "../membership/Membership.js";
import { EngineHealth } from "../scheduler/TrackedEngine.js";
import type { PoolHost } from "../scheduler/PoolHost.js";

import type { LogAccess } from "./LogAccess.js";

const US_PER_MS = 1_000;
/** Reported for an engine whose loaded model isn't known. */
const UNKNOWN_MODEL = "";

/**
 * Connections and bytes of the calls that this process served, and the delays of its event loop.
 */
export type ServerTraffic = Pick<
  NodeStatus,
  "connections" | "sentBytes" | "receivedBytes" | "loopDelayMaxMs"
>;

/** Collects the status of this process for operators and metrics. */
export class StatusReporter {
  readonly #membership: Membership;
  readonly #duties: DutyRunner;
  readonly #pools: PoolHost;
  readonly #log: LogAccess;
  readonly #traffic: TrafficMeter;
  readonly #getServerTraffic: () => ServerTraffic;
  readonly #startMs = performance.now();

  constructor(options: {
    membership: Membership;
    duties: DutyRunner;
    pools: PoolHost;
    log: LogAccess;
    traffic: TrafficMeter;
    getServerTraffic: () => ServerTraffic;
  }) {
    this.#membership = options.membership;
    this.#duties = options.duties;
    this.#pools = options.pools;
    this.#log = options.log;
    this.#traffic = options.traffic;
    this.#getServerTraffic = options.getServerTraffic;
  }

  getStatus(): NodeStatus {
    const cpu = process.cpuUsage();
    return {
      report: this.#membership.report,
      members: this.#membership.getMembers().map(({ report, state, ageMs }) => ({
        name: report.name,
        failureDomain: report.failureDomain,
        host: report.host,
        port: report.port,
        controlPort: report.controlPort,
        configRevision: report.configRevision,
        configDigest: report.configDigest,
        state,
        ageMs: Math.max(0, Math.round(ageMs)),
      })),
      duties: this.#duties.getHeld(),
      pools: this.#pools.getOwnedPools(),
      isLogCaughtUp: this.#log.control.reader.isCaughtUp,
      uptimeMs: Math.round(performance.now() - this.#startMs),
      cpuMs: Math.round((cpu.user + cpu.system) / US_PER_MS),
      rssBytes: process.memoryUsage.rss(),
      logAppends: this.#log.appends,
      logReads: this.#log.reads,
      ...this.#getServerTraffic(),
      traffic: this.#traffic.getTotals(),
      freedHoldings: this.#duties.freedHoldings,
      claimKeys: this.#log.claimKeys,
      queued: [...this.#pools.getSchedulers().values()].reduce((sum, cell) => sum + cell.queued, 0),
    };
  }

  getUpstreams(): z.input<typeof upstreamStatusSchema>[] {
    return this.#pools.getOwnedPools().flatMap((pool) =>
      this.#pools
        .getScheduler(pool)
        .getEngines()
        .map((engine) => ({
          pool,
          engine: engine.name,
          failureDomain: engine.failureDomain,
          health: engine.health === EngineHealth.Live ? "live" : engine.health,
          isLeaving: engine.isListedLeaving || engine.isRejectingWork,
          model: engine.load?.model ?? UNKNOWN_MODEL,
          requests: engine.grants.size,
          outstandingTokens: [...engine.grants.values()].reduce(
            (sum, grant) => sum + grant.promptTokens + grant.outputTokens,
            0,
          ),
        })),
    );
  }
}
