import type { NodeServer } from "@lycheepulley/nodes";

import { CostExchange } from "./CostExchange.js";
import { CrashExchange } from "./CrashExchange.js";
import { LimitExchange } from "./LimitExchange.js";
import { countBlocked, countByStatus } from "./metricsServer.js";

type Options = ConstructorParameters<typeof LimitExchange>[0] &
  ConstructorParameters<typeof CrashExchange>[0] &
  ConstructorParameters<typeof CostExchange>[0];

/** Exchanges with peers what processes find out about upstreams and requests. */
export class EvidenceExchange {
  readonly limits: LimitExchange;
  readonly crashes: CrashExchange;
  readonly costs: CostExchange;

  constructor(options: Options) {
    this.limits = new LimitExchange(options);
    this.crashes = new CrashExchange(options);
    this.costs = new CostExchange(options);
  }

  start(server: NodeServer): void {
    this.limits.start(server);
    this.crashes.start(server);
    this.costs.start();
  }

  stop(): void {
    this.limits.stop();
    this.crashes.stop();
    this.costs.stop();
  }

  /** Tells a process that may lack it what was told since. */
  inform(host: string): void {
    this.crashes.inform(host);
    this.costs.inform(host);
  }

  /** Number of parts of prompts that may crash upstreams, by status. */
  countParts(): Record<string, number> {
    return countByStatus(this.crashes.guard.evidence.suspects);
  }

  /** Number of requests that aren't sent since they crashed upstreams. */
  countBlockedRequests(): number {
    return countBlocked(this.crashes.guard.evidence);
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    this.limits.retain(ids);
    this.costs.book?.paces.retain(ids);
  }
}
