import type { Clock, ProcessLifecycle, Random } from "@lycheepulley/core";
import type { AnswerCosts, Logger } from "@lycheepulley/telemetry";

import type { InvalidAnswer } from "./answerProgress.js";
import type { CostBook } from "./costs/CostBook.js";
import type { CrashGuard } from "./crashes/CrashGuard.js";
import type { FleetView } from "./FleetView.js";
import type { SendQuota } from "./limits/SendQuota.js";
import type { ColdUpstreams } from "./limits/ColdUpstreams.js";
import type { UpstreamLimits } from "./limits/UpstreamLimits.js";
import type { UpstreamRests } from "./limits/UpstreamRests.js";
import type { LossWatch } from "./LossWatch.js";
import type { LoadTracker } from "./LoadTracker.js";
import type { PeerLoads } from "./PeerLoads.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { ReservationManager } from "./ReservationManager.js";
import type { Dialect, UpstreamControl, UpstreamTransport } from "./types.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";
import type { UpstreamWatch } from "./UpstreamWatch.js";

/** How a forwarded request ended, for metrics. */
export interface ForwardSummary {
  readonly route: string;
  readonly result: string;
  /** Time from receipt to the first event. */
  readonly firstMs: number | undefined;
  /** Time from receipt to the end of the answer. */
  readonly totalMs: number;
  readonly sends: number;
}

/** Services that all forwarded requests share. */
export interface ForwardDependencies {
  readonly clock: Clock;
  /**
   * Requests that wait in vain until the process ends are rejected in time for another one to serve
   * them, and all others end with it. Undefined where the process never ends.
   */
  readonly lifecycle?: ProcessLifecycle | undefined;
  readonly random: Random;
  readonly view: FleetView;
  readonly loadTracker: LoadTracker;
  /** Undefined where every process hears of all requests. */
  readonly peerLoads?: PeerLoads | undefined;
  /** Undefined where placement goes by published constants alone. */
  readonly costs?: CostBook | undefined;
  /** Customers have shares of contended pools; false by default. */
  readonly sharesRoom?: boolean | undefined;
  /** Prompts that wait for KV memory are promised it; false by default. */
  readonly promisesRoom?: boolean | undefined;
  /** Failure domain whose upstreams are near; undefined where distance doesn't count. */
  readonly nearDomain?: string | undefined;
  readonly health: UpstreamHealth;
  readonly watch: UpstreamWatch;
  readonly losses: LossWatch;
  readonly limits: UpstreamLimits;
  /** Undefined where no upstream is ever cold. */
  readonly cold?: ColdUpstreams | undefined;
  readonly rests: UpstreamRests;
  readonly quota: SendQuota;
  readonly retryBudget: RetryBudget;
  readonly guard: CrashGuard;
  readonly reservations: ReservationManager;
  readonly control: UpstreamControl;
  readonly transport: UpstreamTransport;
  readonly dialect: Dialect;
  readonly logger: Logger;
  /** Called when an upstream says for the first time that it is about to end. */
  readonly onLeaving: (upstream: string) => void;
  /** Undefined where nobody asks what answers cost. */
  readonly answerCosts?: AnswerCosts | undefined;
  /** Called with what makes an answer of an upstream invalid. */
  readonly onInvalid?: (invalid: InvalidAnswer) => void;
  readonly onEnd: (end: ForwardSummary) => void;
}
