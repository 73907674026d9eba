import type { Clock } from "@lycheepulley/core";

const WINDOW_SLOTS = 10;

/** Counts requests and retries of one pool over a sliding window. */
class PoolWindow {
  readonly #slotMs: number;
  readonly #requests = new Array<number>(WINDOW_SLOTS).fill(0);
  readonly #retries = new Array<number>(WINDOW_SLOTS).fill(0);
  #slot = 0;

  constructor(windowMs: number) {
    this.#slotMs = windowMs / WINDOW_SLOTS;
  }

  advance(nowMs: number): void {
    const slot = Math.floor(nowMs / this.#slotMs);
    for (let passed = Math.min(WINDOW_SLOTS, slot - this.#slot); passed > 0; passed--) {
      this.#requests[(slot - passed + 1) % WINDOW_SLOTS] = 0;
      this.#retries[(slot - passed + 1) % WINDOW_SLOTS] = 0;
    }
    this.#slot = Math.max(this.#slot, slot);
  }

  addRequest(): void {
    this.#requests[this.#slot % WINDOW_SLOTS] =
      (this.#requests[this.#slot % WINDOW_SLOTS] ?? 0) + 1;
  }

  addRetry(): void {
    this.#retries[this.#slot % WINDOW_SLOTS] = (this.#retries[this.#slot % WINDOW_SLOTS] ?? 0) + 1;
  }

  get requests(): number {
    return this.#requests.reduce((sum, count) => sum + count, 0);
  }

  get retries(): number {
    return this.#retries.reduce((sum, count) => sum + count, 0);
  }
}

/** Limits on retries that all entry processes share. */
export interface RetryBudgetLimits {
  /** Retries allowed for each request in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in a window beyond the ratio, over all processes. */
  readonly slack: number;
}

/** Share of the limits that is used, so that every sliding window stays within them. */
const USED_SHARE = 0.7;

/** Retry budget of this process: the ratio of its own requests and its part of the slack. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #limits: RetryBudgetLimits;
  readonly #getProcessCount: () => number;
  readonly #pools = new Map<string, PoolWindow>();

  constructor(options: { clock: Clock; limits: RetryBudgetLimits; getProcessCount: () => number }) {
    this.#clock = options.clock;
    this.#limits = options.limits;
    this.#getProcessCount = options.getProcessCount;
  }

  /** Counts a request that is sent for the first time. */
  addRequest(pool: string): void {
    this.#getWindow(pool).addRequest();
  }

  /** Takes one retry from the budget; false when it is exhausted. */
  trySpend(pool: string): boolean {
    const window = this.#getWindow(pool);
    const { ratio, slack } = this.#limits;
    const allowed =
      USED_SHARE * (ratio * window.requests + slack / Math.max(1, this.#getProcessCount()));
    if (window.retries + 1 > allowed) {
      return false;
    }
    window.addRetry();
    return true;
  }

  #getWindow(pool: string): PoolWindow {
    let window = this.#pools.get(pool);
    if (!window) {
      window = new PoolWindow(this.#limits.windowMs);
      this.#pools.set(pool, window);
    }
    window.advance(this.#clock.now());
    return window;
  }
}
