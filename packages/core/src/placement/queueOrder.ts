/** A waiting request as seen by a queue order. */
export interface WaitingRequest {
  readonly id: string;
  readonly priority: number;
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
  /** Monotonic time of arrival, milliseconds. */
  readonly arrivedMs: number;
  /** Latest monotonic time at which it can start and still meet its deadline, milliseconds. */
  readonly latestStartMs: number;
}

/** Order in which waiting requests are served. */
export interface QueueOrder {
  readonly name: string;
  onArrival(req: WaitingRequest): void;
  onLeave(req: WaitingRequest): void;
  compare(a: WaitingRequest, b: WaitingRequest, nowMs: number): number;
}

/** First come, first served. */
export class FifoOrder implements QueueOrder {
  readonly name = "fifo";

  onArrival(): void {
    // Arrival times are enough.
  }

  onLeave(): void {
    // Arrival times are enough.
  }

  compare(a: WaitingRequest, b: WaitingRequest): number {
    return a.arrivedMs - b.arrivedMs;
  }
}

/** A request this close to its latest start goes ahead of classes with higher priority. */
const URGENT_SLACK_MS = 2_000;

/**
 * Serves classes by priority, and customers within a class by weighted fair
 * queueing in tokens. A request that is about to miss its latest start goes
 * ahead of both.
 */
export class FairOrder implements QueueOrder {
  readonly name = "fair";
  readonly #finishTags = new Map<string, number>();
  readonly #lastTagByCustomer = new Map<string, number>();
  #virtualTime = 0;

  onArrival(req: WaitingRequest): void {
    const lastTag = this.#lastTagByCustomer.get(req.customer) ?? 0;
    const tag = Math.max(this.#virtualTime, lastTag) + req.tokens / req.weight;
    this.#lastTagByCustomer.set(req.customer, tag);
    this.#finishTags.set(req.id, tag);
  }

  onLeave(req: WaitingRequest): void {
    const tag = this.#finishTags.get(req.id) ?? 0;
    this.#finishTags.delete(req.id);
    this.#virtualTime = Math.max(this.#virtualTime, tag - req.tokens / req.weight);
    if (this.#finishTags.size === 0) {
      this.#lastTagByCustomer.clear();
      this.#virtualTime = 0;
    }
  }

  compare(a: WaitingRequest, b: WaitingRequest, nowMs: number): number {
    const urgency = Number(isUrgent(b, nowMs)) - Number(isUrgent(a, nowMs));
    return (
      urgency ||
      a.priority - b.priority ||
      (this.#finishTags.get(a.id) ?? 0) - (this.#finishTags.get(b.id) ?? 0) ||
      a.arrivedMs - b.arrivedMs
    );
  }
}

const isUrgent = (req: WaitingRequest, nowMs: number): boolean =>
  req.latestStartMs - nowMs < URGENT_SLACK_MS && req.latestStartMs >= nowMs;
