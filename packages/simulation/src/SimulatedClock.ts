import type { Cancel, Clock } from "@lycheepulley/core";

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly fn: () => void;
  isCancelled: boolean;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Clock that jumps from timer to timer, so that a simulated minute takes seconds. */
export class SimulatedClock implements Clock {
  /** Binary heap of timers, the next one first. */
  readonly #timers: Timer[] = [];
  #nowMs = 0;
  #nextOrder = 0;

  now(): number {
    return this.#nowMs;
  }

  wall(): number {
    return this.#nowMs;
  }

  setTimer(fn: () => void, delayMs: number): Cancel {
    const timer: Timer = {
      ...{ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#nextOrder++ },
      ...{ fn, isCancelled: false },
    };
    this.#push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Runs all timers up to `untilMs`, and after each the promises that it settled. */
  async run(untilMs: number): Promise<void> {
    for (let next = this.#timers[0]; next && next.atMs <= untilMs; next = this.#timers[0]) {
      this.#pop();
      if (next.isCancelled) {
        continue;
      }
      this.#nowMs = next.atMs;
      next.fn();
      await settlePromises();
    }
    this.#nowMs = untilMs;
  }

  #push(timer: Timer): void {
    const heap = this.#timers;
    let at = heap.push(timer) - 1;
    while (at > 0) {
      const parentAt = (at - 1) >> 1;
      const parent = heap[parentAt];
      if (!parent || !isBefore(timer, parent)) {
        break;
      }
      heap[at] = parent;
      at = parentAt;
    }
    heap[at] = timer;
  }

  #pop(): void {
    const heap = this.#timers;
    const last = heap.pop();
    if (!last || heap.length === 0) {
      return;
    }
    let at = 0;
    for (;;) {
      let childAt = 2 * at + 1;
      let child = heap[childAt];
      const right = heap[childAt + 1];
      if (child && right && isBefore(right, child)) {
        childAt += 1;
        child = right;
      }
      if (!child || !isBefore(child, last)) {
        break;
      }
      heap[at] = child;
      at = childAt;
    }
    heap[at] = last;
  }
}

const settlePromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });
