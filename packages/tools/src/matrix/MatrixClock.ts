import { createClock, type Clock as FakeTimers } from "@sinonjs/fake-timers";
import type { Cancel, Clock } from "@lycheepulley/core";

const START_MS = 1_800_000_000_000;
/** Turns of the event loop in which promises settle between two timers. */
const SETTLE_TURNS = 1;

const settlePromises = async (): Promise<void> => {
  for (let i = 0; i < SETTLE_TURNS; i += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
};

/** Simulated time of one cell, independent of the machine's clock. */
export class MatrixClock implements Clock {
  readonly #timers: FakeTimers = createClock(START_MS);

  now(): number {
    return this.#timers.now - START_MS;
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

  /** Advances time by `ms`, or less if `isDone` returns true after a timer. */
  async advance(ms: number, isDone: () => boolean = () => false): Promise<void> {
    const untilMs = this.#timers.now + ms;
    let isOver = false;
    this.#timers.setTimeout(() => {
      isOver = true;
    }, ms);
    await settlePromises();
    while (!isOver && this.#timers.now < untilMs && !isDone()) {
      this.#timers.next();
      await settlePromises();
    }
  }
}

/** Clock of one process, which can be paused or killed. */
export class ProcessClock implements Clock {
  readonly #clock: MatrixClock;
  /** Callbacks that wait for the end of a pause; undefined while the process runs. */
  #deferred: (() => void)[] | undefined;
  #isDead = false;

  constructor(clock: MatrixClock) {
    this.#clock = clock;
  }

  get isDead(): boolean {
    return this.#isDead;
  }

  get isPaused(): boolean {
    return this.#deferred !== undefined;
  }

  now(): number {
    return this.#clock.now();
  }

  wall(): number {
    return this.#clock.wall();
  }

  setTimer(fn: () => void, delayMs: number): Cancel {
    let isCancelled = false;
    const cancel = this.#clock.setTimer(() => {
      this.run(() => {
        if (!isCancelled) {
          fn();
        }
      });
    }, delayMs);
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Runs `fn` now, at the end of a pause, or never if the process was killed. */
  run(fn: () => void): void {
    if (this.#isDead) {
      return;
    }
    if (this.#deferred) {
      this.#deferred.push(fn);
      return;
    }
    fn();
  }

  /** Delays a peer's answer until the process runs; never settles if it was killed. */
  settleWhenRunning<T>(answer: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      answer.then(
        (value) => {
          this.run(() => {
            resolve(value);
          });
        },
        (err: unknown) => {
          this.run(() => {
            reject(err instanceof Error ? err : new Error(String(err)));
          });
        },
      );
    });
  }

  kill(): void {
    this.#isDead = true;
    this.#deferred = undefined;
  }

  pause(durationMs: number): void {
    if (this.#isDead || this.#deferred) {
      return;
    }
    this.#deferred = [];
    this.#clock.setTimer(() => {
      const deferred = this.#deferred ?? [];
      this.#deferred = undefined;
      deferred.forEach((fn) => {
        this.run(fn);
      });
    }, durationMs);
  }
}
