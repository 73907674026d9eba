import { createClock, type Clock as FakeTimers } from "@sinonjs/fake-timers";
import type { Cancel, Clock } from "@lycheepulley/core";

/** Clock that only moves when a test advances it. */
export class ManualClock implements Clock {
  readonly #timers: FakeTimers = createClock(0);

  now(): number {
    return this.#timers.now;
  }

  wall(): number {
    return this.#timers.now;
  }

  setTimer(fn: () => void, delayMs: number): Cancel {
    const id = this.#timers.setTimeout(fn, Math.max(0, delayMs));
    return () => {
      this.#timers.clearTimeout(id);
    };
  }

  /** Advances by `ms`, and runs the timers and promises that are due. */
  async advance(ms: number): Promise<void> {
    await this.#timers.tickAsync(ms);
  }
}
