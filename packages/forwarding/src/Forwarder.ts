import type { ForwardDependencies } from "./forwardDependencies.js";
import { ForwardJob } from "./ForwardJob.js";
import { Placer } from "./Placer.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

/** Forwards requests to upstreams and their answers to callers. */
export class Forwarder {
  readonly #parts: ForwardDependencies;
  readonly #placer: Placer;
  #inFlight = 0;

  constructor(parts: ForwardDependencies) {
    this.#parts = parts;
    this.#placer = new Placer(parts);
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Resolves when the caller has its final answer or left. */
  async forward(req: ForwardRequest, writer: AnswerWriter): Promise<void> {
    this.#inFlight += 1;
    try {
      await new ForwardJob({ parts: this.#parts, placer: this.#placer, req, writer }).run();
    } finally {
      this.#inFlight -= 1;
      this.#parts.loadTracker.removeOwn(req.head.attemptId);
    }
  }
}
