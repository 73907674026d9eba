import type { Cancel, Clock, QueueOrder, WaitingRequest } from "@lycheepulley/core";

import type { AcquireAnswer, AcquireRequest } from "./types.js";

const MS_PER_S = 1_000;

/** A queued request. */
export interface Waiting {
  readonly req: AcquireRequest;
  /** Process that waits for the answer. */
  readonly holder: string;
  readonly entry: WaitingRequest;
}

interface Queued extends Waiting {
  readonly cancelTimer: Cancel;
  readonly resolve: (answer: AcquireAnswer) => void;
}

/** Queue of the requests of one pool; each request has a timer, so that none waits forever. */
export class WaitQueue {
  readonly #clock: Clock;
  readonly #order: QueueOrder;
  readonly #queued = new Map<string, Queued>();

  constructor(options: { clock: Clock; order: QueueOrder }) {
    this.#clock = options.clock;
    this.#order = options.order;
  }

  get size(): number {
    return this.#queued.size;
  }

  has(id: string): boolean {
    return this.#queued.has(id);
  }

  getRequests(): AcquireRequest[] {
    return [...this.#queued.values()].map(({ req }) => req);
  }

  /** Queues a request; `onTimeout` is called when its deadline passes. */
  add(req: AcquireRequest, holder: string, onTimeout: () => void): Promise<AcquireAnswer> {
    return new Promise((resolve) => {
      const entry = this.#newEntry(req);
      const cancelTimer = this.#clock.setTimer(onTimeout, req.remainingMs);
      this.#order.onArrival(entry);
      this.#queued.set(req.id, { req, holder, entry, cancelTimer, resolve });
    });
  }

  /** Removes a request and answers it; false when it isn't queued. */
  leave(id: string, answer: AcquireAnswer): boolean {
    const queued = this.#queued.get(id);
    if (!queued) {
      return false;
    }
    this.#queued.delete(id);
    queued.cancelTimer();
    this.#order.onLeave(queued.entry);
    queued.resolve(answer);
    return true;
  }

  /** Queued requests, the next one to be placed first. */
  getOrdered(): Waiting[] {
    const now = this.#clock.now();
    return [...this.#queued.values()].sort((a, b) => this.#order.compare(a.entry, b.entry, now));
  }

  #newEntry(req: AcquireRequest): WaitingRequest {
    const now = this.#clock.now();
    const serviceMs = (req.promptTokens / req.prefillTokensPerS) * MS_PER_S;
    return {
      id: req.id,
      priority: req.priority,
      customer: req.customer,
      weight: req.weight,
      tokens: req.promptTokens + req.outputTokens,
      arrivedMs: now,
      latestStartMs: now + req.remainingMs - serviceMs,
    };
  }
}
