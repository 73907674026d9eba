import { monitorEventLoopDelay } from "node:perf_hooks";

import type { Cancel, Clock } from "@lycheepulley/core";

const SAMPLING_MS = 5;
const NS_PER_MS = 1_000_000;
/** Readers see the longest delay of this window and of the one before it. */
const WINDOW_MS = 5_000;

/** Source of delay samples: the longest since the last reset, nanoseconds. */
export interface DelaySamples {
  readonly max: number;
  reset(): void;
  enable(): boolean;
}

/** Measures the longest delay of the event loop over a window that doesn't depend on who reads it. */
export class LoopDelayMonitor {
  readonly #clock: Clock;
  readonly #samples: DelaySamples;
  #previousMs = 0;
  #cancel: Cancel = () => undefined;

  constructor(
    clock: Clock,
    samples: DelaySamples = monitorEventLoopDelay({ resolution: SAMPLING_MS }),
  ) {
    this.#clock = clock;
    this.#samples = samples;
  }

  start(): void {
    this.#samples.enable();
    this.#scheduleNextWindow();
  }

  stop(): void {
    this.#cancel();
  }

  /** Longest delay of the current window and the one before it, milliseconds. */
  get maxMs(): number {
    return Math.max(this.#previousMs, this.#currentMs);
  }

  get #currentMs(): number {
    return Math.max(0, this.#samples.max / NS_PER_MS - SAMPLING_MS);
  }

  #scheduleNextWindow(): void {
    this.#cancel = this.#clock.setTimer(() => {
      this.#previousMs = this.#currentMs;
      this.#samples.reset();
      this.#scheduleNextWindow();
    }, WINDOW_MS);
  }
}
