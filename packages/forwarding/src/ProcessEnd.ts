import type { Clock } from "@lycheepulley/core";

import type { EngineSpec } from "./fleetConfig.js";
import { estimateServiceMs } from "./draining.js";
import type { ForwardRequest } from "./types.js";

/** Time for which an upstream is looked for, also when the answer may come too late. */
const MIN_SEARCH_MS = 200;

/** When this process ends, which it knows once it drains. */
export class ProcessEnd {
  readonly #clock: Clock;
  readonly #listeners = new Set<() => void>();
  #atMs = Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Monotonic time of the end; `Infinity` until the process drains. */
  get atMs(): number {
    return this.#atMs;
  }

  get isKnown(): boolean {
    return this.#atMs < Infinity;
  }

  /** Has the process end in `leftMs`. */
  start(leftMs: number): void {
    this.#atMs = this.#clock.now() + leftMs;
    this.#listeners.forEach((listener) => {
      listener();
    });
  }

  /** Calls `listener` once the end is known, which may be now; returns a function that cancels it. */
  onKnown(listener: () => void): () => void {
    if (this.isKnown) {
      listener();
      return () => undefined;
    }
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Time for which a request may still wait for an upstream before its answer would be cut, milliseconds. */
  getSearchMs({ route, head }: ForwardRequest, engine: EngineSpec | undefined): number {
    const leftMs = this.#atMs - this.#clock.now();
    return Math.max(MIN_SEARCH_MS, leftMs - estimateServiceMs(route, head, engine));
  }
}
