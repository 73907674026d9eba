import type { ForwardDependencies } from "./forwardDependencies.js";
import { ForwardJob } from "./ForwardJob.js";
import { Placer } from "./Placer.js";
import type { RoomCounts } from "./room/RoomStats.js";
import { SendPlanner } from "./SendPlanner.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

/** Forwards requests to upstreams and their answers to callers. */
export class Forwarder {
  readonly #deps: ForwardDependencies;
  readonly #placer: Placer;
  readonly #planner: SendPlanner;
  #inFlight = 0;

  constructor(deps: ForwardDependencies) {
    this.#deps = deps;
    this.#placer = new Placer(deps);
    this.#planner = new SendPlanner({ guard: deps.guard, placer: this.#placer });
  }

  /** Number of requests without a final answer. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** What this process knows of prompts that wait for KV memory. */
  get room(): RoomCounts {
    return this.#placer.room.counts;
  }

  /** Resolves when the caller has its final answer or disconnected. */
  async forward(req: ForwardRequest, writer: AnswerWriter): Promise<void> {
    this.#inFlight += 1;
    try {
      await new ForwardJob({
        ...{ deps: this.#deps, placer: this.#placer, planner: this.#planner, req, writer },
      }).run();
    } finally {
      this.#inFlight -= 1;
      this.#deps.loadTracker.removeOwn(req.head.attemptId);
    }
  }
}
