import { ProcessLifecycle } from "@lycheepulley/core";

import { AnswerTimeline } from "./AnswerTimeline.js";
import type { EstimateError } from "./costs/EstimateErrors.js";
import type { PlacementSnapshot } from "./explain/PlacementSnapshot.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { ForwardJob } from "./ForwardJob.js";
import { Placer } from "./Placer.js";
import { newSharing, type Sharing } from "./PromptAdmission.js";
import type { RoomCounts } from "./room/RoomStats.js";
import { getDeadlineAtMs, pickPool } from "./sendParameters.js";
import { SendPlanner } from "./SendPlanner.js";
import type { UsedShare } from "./shares/CustomerShares.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

/** Forwards requests to upstreams and their answers to callers. */
export class Forwarder {
  readonly #deps: ForwardDependencies;
  readonly #sharing: Sharing | undefined;
  readonly #placer: Placer;
  readonly #planner: SendPlanner;
  readonly #lifecycle: ProcessLifecycle;
  #inFlight = 0;

  constructor(deps: ForwardDependencies) {
    this.#deps = deps;
    this.#sharing = deps.sharesRoom ? newSharing(deps) : undefined;
    this.#lifecycle = deps.lifecycle ?? new ProcessLifecycle();
    this.#placer = new Placer({ ...deps, sharing: this.#sharing, lifecycle: this.#lifecycle });
    this.#planner = new SendPlanner({ guard: deps.guard, placer: this.#placer });
  }

  /** Number of requests without a final answer. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Reservations of KV memory that are being released now. */
  get releasing(): number {
    return this.#deps.reservations.releasing;
  }

  /** What this process knows of prompts that wait for KV memory. */
  get room(): RoomCounts {
    return this.#placer.room.counts;
  }

  /** Share of each pool's work by customer; none where customers have no shares. */
  get usedShares(): readonly UsedShare[] {
    return this.#sharing?.shares.usedShares ?? [];
  }

  /** Errors of this process's estimates; none where it learns nothing. */
  get estimateErrors(): EstimateError[] {
    return this.#deps.costs?.errors.all ?? [];
  }

  /** What decides where a request would go now; sends and books nothing. */
  explain(req: ForwardRequest): Promise<PlacementSnapshot> {
    return this.#placer.explain({
      ...{ req, pool: pickPool(req.route, this.#deps.random), isApart: false },
      ...{ excluded: new Set(), deadlineAtMs: getDeadlineAtMs(req), signal: req.signal },
      timeline: new AnswerTimeline(req.receivedMs, req.route),
    });
  }

  /** Resolves when the caller has its final answer or disconnected. */
  async forward(req: ForwardRequest, writer: AnswerWriter): Promise<void> {
    this.#inFlight += 1;
    try {
      await new ForwardJob({
        ...{ deps: this.#deps, placer: this.#placer, planner: this.#planner, req, writer },
        lifecycle: this.#lifecycle,
      }).run();
    } finally {
      this.#inFlight -= 1;
      this.#deps.loadTracker.removeOwn(req.head.attemptId);
    }
  }
}
