import type { Clock } from "@lycheepulley/core";

import { CostSketch } from "./CostSketch.js";

const HALF_LIFE_MS = 60_000;

/** What is estimated when a request is placed. */
export const EstimateKind = {
  /** Tokens of an answer. */
  Length: "length",
  /** Time to the first event. */
  First: "first",
  /** Time of an answer after its first event. */
  Answer: "answer",
  /** Time of a call. */
  Call: "call",
} as const;
export type EstimateKind = (typeof EstimateKind)[keyof typeof EstimateKind];

/** Error of the estimates of one kind, as the factor between estimate and truth, 1 or more. */
export interface EstimateError {
  readonly kind: EstimateKind;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
}

/** Compares estimates with what was seen. */
export class EstimateErrors {
  readonly #clock: Clock;
  readonly #sketches = new Map<EstimateKind, CostSketch>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(kind: EstimateKind, estimate: number, seen: number): void {
    if (estimate > 0 && seen > 0) {
      const now = this.#clock.now();
      const sketch = this.#sketches.get(kind) ?? new CostSketch(HALF_LIFE_MS, now);
      this.#sketches.set(kind, sketch);
      sketch.record(Math.max(estimate / seen, seen / estimate), now);
    }
  }

  get all(): EstimateError[] {
    const now = this.#clock.now();
    return [...this.#sketches].map(([kind, sketch]) => ({
      ...{ kind, count: Math.round(sketch.getWeight(now)) },
      ...{ p50: sketch.getQuantile(0.5) ?? 1, p95: sketch.getQuantile(0.95) ?? 1 },
    }));
  }
}
