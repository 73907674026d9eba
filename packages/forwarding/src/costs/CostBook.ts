import type { Clock } from "@lycheepulley/core";

import { CostSketch } from "./CostSketch.js";
import { EstimateErrors } from "./EstimateErrors.js";
import { UpstreamPaces, type PaceReport } from "./UpstreamPaces.js";

/** Requests of a route change over a day, not within seconds. */
const HALF_LIFE_MS = 60_000;
/** Observations from which a key is believed rather than its parent. */
const MIN_WEIGHT = 3;
/** Quantile of the answer length for the planning of memory, and the observations that it takes. */
const MEMORY_QUANTILE = 0.98;
const MIN_MEMORY_WEIGHT = 50;
/** Most keys, whatever callers send; the one that was used longest ago is dropped. */
const MAX_KEYS = 256;
/** Most observations that a peer's summary stands for. */
const MAX_SUMMARY_WEIGHT = 16;
/** Quantiles by which a distribution is told. */
const TOLD_QUANTILES = [0.1, 0.3, 0.5, 0.7, 0.9, 0.98] as const;
/** Share of the distribution that each of them stands for. */
const TOLD_SHARES = [0.2, 0.2, 0.2, 0.2, 0.16, 0.04] as const;
/** Most distributions in one summary, which has to fit into a datagram. */
export const MAX_COST_REPORTS = 24;

/** What is learned of requests. */
export const CostKind = {
  /** Length of an answer as a share of the caller's limit. */
  Length: "length",
  /** Length of an answer as a multiple of the caller's estimate. */
  Hint: "hint",
  /** Time of a call, milliseconds. */
  Call: "call",
  /** Shorter gaps between events, as a multiple of the published time of a pass. */
  Pass: "pass",
  /** Time between the first and the last event, as a multiple of the expected time. */
  Stretch: "stretch",
} as const;
export type CostKind = (typeof CostKind)[keyof typeof CostKind];

/** Whose requests are alike: the most special key with enough observations is believed. */
export interface CostKey {
  readonly pool: string;
  readonly route: string;
  readonly customer: string | undefined;
}

/** Number of tokens of an answer, as its caller states it. */
export interface StatedLength {
  readonly limitTokens: number;
  readonly hintTokens: number | undefined;
}

/** Expected length of an answer. */
export interface LengthEstimate {
  /** Median, for times. */
  readonly tokens: number;
  /** A length that few answers exceed, for memory. */
  readonly memoryTokens: number;
}

/** One distribution, for a peer. */
export interface CostReport {
  readonly kind: CostKind;
  readonly pool: string;
  /** Absent for the whole pool. */
  readonly route?: string | undefined;
  readonly weight: number;
  readonly values: readonly number[];
}

/** What one process tells another of the costs that it has seen. */
export interface CostSummary {
  readonly costs: readonly CostReport[];
  readonly paces: readonly PaceReport[];
}

/** Costs of requests, learned from those that ended, with the paces of upstreams. */
export class CostBook {
  readonly paces: UpstreamPaces;
  readonly errors: EstimateErrors;
  readonly #clock: Clock;
  readonly #sketches = new Map<string, CostSketch>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.paces = new UpstreamPaces(clock);
    this.errors = new EstimateErrors(clock);
  }

  /** Number of distributions that are kept. */
  get size(): number {
    return this.#sketches.size;
  }

  /** Records an observation for the key and its parents. */
  record(kind: CostKind, key: CostKey, value: number): void {
    const now = this.#clock.now();
    for (const name of getNames(kind, key)) {
      this.#touch(name, now).record(value, now);
    }
  }

  /** Records the length of a whole answer. */
  recordLength(key: CostKey, { limitTokens, hintTokens }: StatedLength, tokens: number): void {
    if (limitTokens > 0) {
      this.record(CostKind.Length, key, tokens / limitTokens);
    }
    if (hintTokens !== undefined && hintTokens > 0) {
      this.record(CostKind.Hint, key, tokens / hintTokens);
    }
  }

  /**
   * Expected length of an answer: by the caller's limit or by its estimate, whichever has told the
   * lengths of such answers better. Without observations, what the caller states.
   */
  estimateLength(key: CostKey, { limitTokens, hintTokens }: StatedLength): LengthEstimate {
    const byLimit = this.#find(CostKind.Length, key);
    const byHint = hintTokens === undefined ? undefined : this.#find(CostKind.Hint, key);
    const isHintUsed = byHint !== undefined && (!byLimit || getSpread(byHint) < getSpread(byLimit));
    const sketch = isHintUsed ? byHint : byLimit;
    const base = isHintUsed ? (hintTokens ?? limitTokens) : limitTokens;
    const stated = Math.min(limitTokens, hintTokens ?? limitTokens);
    const tokens = sketch ? (sketch.getQuantile(0.5) ?? 1) * base : stated;
    const isKnown = (sketch?.getWeight(this.#clock.now()) ?? 0) >= MIN_MEMORY_WEIGHT;
    const high = isKnown ? (sketch?.getQuantile(MEMORY_QUANTILE) ?? 1) * base : limitTokens;
    return {
      tokens: Math.min(limitTokens, Math.ceil(tokens)),
      memoryTokens: Math.min(limitTokens, Math.ceil(Math.max(tokens, high))),
    };
  }

  /** Median of a distribution for the most special key that has one; undefined without. */
  estimate(kind: CostKind, key: CostKey): number | undefined {
    return this.#find(kind, key)?.getQuantile(0.5);
  }

  /** What a peer that has just started should begin with: distributions of pools and routes, and paces. */
  getSummary(): CostSummary {
    const now = this.#clock.now();
    const costs = [...this.#sketches]
      .flatMap(([name, sketch]) => newReport(name, sketch, now) ?? [])
      .sort((a, b) => b.weight - a.weight)
      .slice(0, MAX_COST_REPORTS);
    return { costs, paces: this.paces.getReports() };
  }

  /** Takes over what a peer has seen, as far as this process has seen less. */
  recordPeer({ costs, paces }: CostSummary): void {
    const now = this.#clock.now();
    for (const { kind, pool, route, weight, values } of costs.slice(0, MAX_COST_REPORTS)) {
      const sketch = this.#touch(
        toName(kind, [pool, ...(route === undefined ? [] : [route])]),
        now,
      );
      const missing = Math.min(MAX_SUMMARY_WEIGHT, weight) - sketch.getWeight(now);
      values.slice(0, TOLD_SHARES.length).forEach((value, at) => {
        sketch.record(value, now, missing * (TOLD_SHARES[at] ?? 0));
      });
    }
    this.paces.recordPeer(paces);
  }

  #touch(name: string, now: number): CostSketch {
    const sketch = this.#sketches.get(name) ?? new CostSketch(HALF_LIFE_MS, now);
    // The map keeps its keys in the order of their last use.
    this.#sketches.delete(name);
    this.#sketches.set(name, sketch);
    if (this.#sketches.size > MAX_KEYS) {
      const [oldest] = this.#sketches.keys();
      this.#sketches.delete(oldest ?? "");
    }
    return sketch;
  }

  #find(kind: CostKind, key: CostKey): CostSketch | undefined {
    const now = this.#clock.now();
    return getNames(kind, key)
      .map((name) => this.#sketches.get(name))
      .find((sketch) => (sketch?.getWeight(now) ?? 0) >= MIN_WEIGHT);
  }
}

const SEPARATOR = "\n";

const toName = (kind: CostKind, parts: readonly string[]): string =>
  [kind, ...parts].join(SEPARATOR);

/** Names of a key and its parents, the most special first. */
const getNames = (kind: CostKind, { pool, route, customer }: CostKey): string[] => [
  ...(customer === undefined ? [] : [toName(kind, [pool, route, customer])]),
  toName(kind, [pool, route]),
  toName(kind, [pool]),
];

/** How far answers are apart by one measure; 1 for a measure that tells them all. */
const getSpread = (sketch: CostSketch): number =>
  (sketch.getQuantile(0.9) ?? 1) / (sketch.getQuantile(0.1) ?? 1);

/** A report on a pool or route; undefined for customers and what is hardly known. */
const newReport = (name: string, sketch: CostSketch, now: number): CostReport | undefined => {
  const [kind, pool = "", route, customer] = name.split(SEPARATOR);
  const weight = sketch.getWeight(now);
  if (customer !== undefined || weight < MIN_WEIGHT) {
    return undefined;
  }
  return {
    ...{ kind: kind as CostKind, pool, ...(route !== undefined && { route }) },
    weight: Math.round(weight),
    values: TOLD_QUANTILES.map((quantile) =>
      Number((sketch.getQuantile(quantile) ?? 1).toPrecision(3)),
    ),
  };
};
