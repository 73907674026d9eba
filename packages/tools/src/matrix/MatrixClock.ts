import { createClock, type Clock as FakeTimers } from "@sinonjs/fake-timers";
import type { Cancel, Clock } from "@lycheepulley/core";

const START_MS = 1_800_000_000_000;
/** Turns of the real loop that let promises settle between two timers. */
const SETTLE_TURNS = 1;

const settle = async (): Promise<void> => {
  for (let i = 0; i < SETTLE_TURNS; i += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
};

/** Time of one cell; nothing in it happens by the machine's clock. */
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

  /** Lets `ms` pass, or less if `isDone` becomes true. */
  async advance(ms: number, isDone: () => boolean = () => false): Promise<void> {
    const untilMs = this.#timers.now + ms;
    let isOver = false;
    this.#timers.setTimeout(() => {
      isOver = true;
    }, ms);
    await settle();
    while (!isOver && this.#timers.now < untilMs && !isDone()) {
      this.#timers.next();
      await settle();
    }
  }
}

/** Clock of one process, which can be paused or stopped for good. */
export class ProcessClock implements Clock {
  readonly #clock: MatrixClock;
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

  /** Runs `fn` now, after the pause, or never. */
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

  /** Hands a peer's answer to the process once it runs. */
  settleWhenRunning<T>(work: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      work.then(
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

  pause(forMs: number): void {
    if (this.#isDead || this.#deferred) {
      return;
    }
    this.#deferred = [];
    this.#clock.setTimer(() => {
      const due = this.#deferred ?? [];
      this.#deferred = undefined;
      due.forEach((fn) => {
        this.run(fn);
      });
    }, forMs);
  }
}
