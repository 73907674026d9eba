import type { Clock } from "@lycheepulley/core";

const SLOTS = 10;

/** Counts first sends and repeats of one pool over a sliding window. */
class PoolWindow {
  readonly #slotMs: number;
  readonly #first = new Array<number>(SLOTS).fill(0);
  readonly #repeats = new Array<number>(SLOTS).fill(0);
  #slot = 0;

  constructor(windowMs: number) {
    this.#slotMs = windowMs / SLOTS;
  }

  advance(nowMs: number): void {
    const slot = Math.floor(nowMs / this.#slotMs);
    for (let passed = Math.min(SLOTS, slot - this.#slot); passed > 0; passed--) {
      this.#first[(slot - passed + 1) % SLOTS] = 0;
      this.#repeats[(slot - passed + 1) % SLOTS] = 0;
    }
    this.#slot = Math.max(this.#slot, slot);
  }

  addFirst(): void {
    this.#first[this.#slot % SLOTS] = (this.#first[this.#slot % SLOTS] ?? 0) + 1;
  }

  addRepeat(): void {
    this.#repeats[this.#slot % SLOTS] = (this.#repeats[this.#slot % SLOTS] ?? 0) + 1;
  }

  get first(): number {
    return this.#first.reduce((sum, count) => sum + count, 0);
  }

  get repeats(): number {
    return this.#repeats.reduce((sum, count) => sum + count, 0);
  }
}

/** Bounds of repeated sends that all entry processes share. */
export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats allowed in a window beyond the ratio, over all processes. */
  readonly slack: number;
}

/** Share of the bounds that is used, so that windows that slide stay within them. */
const USED_SHARE = 0.7;

/** Repeats that this process may send: its own requests' ratio and its part of the slack. */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #bounds: RetryBudgetLimits;
  readonly #getProcesses: () => number;
  readonly #pools = new Map<string, PoolWindow>();

  constructor(options: { clock: Clock; limits: RetryBudgetLimits; getProcessCount: () => number }) {
    this.#clock = options.clock;
    this.#bounds = options.limits;
    this.#getProcesses = options.getProcessCount;
  }

  /** Counts a request that is sent for the first time. */
  addRequest(pool: string): void {
    this.#getWindow(pool).addFirst();
  }

  /** Takes one repeat; false when the budget is spent. */
  trySpend(pool: string): boolean {
    const window = this.#getWindow(pool);
    const { ratio, slack } = this.#bounds;
    const allowed = USED_SHARE * (ratio * window.first + slack / Math.max(1, this.#getProcesses()));
    if (window.repeats + 1 > allowed) {
      return false;
    }
    window.addRepeat();
    return true;
  }

  #getWindow(pool: string): PoolWindow {
    let window = this.#pools.get(pool);
    if (!window) {
      window = new PoolWindow(this.#bounds.windowMs);
      this.#pools.set(pool, window);
    }
    window.advance(this.#clock.now());
    return window;
  }
}
