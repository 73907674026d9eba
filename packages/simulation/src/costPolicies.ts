import type { Clock } from "@lycheepulley/core";
import {
  CostBook,
  CostKind,
  UpstreamPaces,
  type CostKey,
  type LengthEstimate,
  type StatedLength,
} from "@lycheepulley/forwarding";

/** What the entry processes of a simulated fleet know of costs. */
export const CostPolicy = {
  /** Nothing: prompts by published constants and the length that callers state at most, calls by their number. */
  Off: "off",
  /** The same for the work that requests have left. */
  Published: "published",
  /** Means of what was seen. */
  Means: "means",
  /** Quantiles of what was seen, as the product learns them. */
  Quantiles: "quantiles",
  /** The true lengths and paces. */
  Hindsight: "hindsight",
} as const;
export type CostPolicy = (typeof CostPolicy)[keyof typeof CostPolicy];

/** Paces that are known without having been seen. */
class KnownPaces extends UpstreamPaces {
  readonly #getPace: (upstream: string) => number;

  constructor(clock: Clock, getPace: (upstream: string) => number) {
    super(clock);
    this.#getPace = getPace;
  }

  override get(upstream: string): number {
    return this.#getPace(upstream);
  }
}

/** Lengths as callers state them, and known paces. */
class KnownCosts extends CostBook {
  override readonly paces: UpstreamPaces;

  constructor(clock: Clock, getPace: (upstream: string) => number) {
    super(clock);
    this.paces = new KnownPaces(clock, getPace);
  }

  override estimateLength(_key: CostKey, { limitTokens }: StatedLength): LengthEstimate {
    return { tokens: limitTokens, memoryTokens: limitTokens };
  }
}

/** Costs as they are published. */
class PublishedCosts extends KnownCosts {
  override estimate(): undefined {
    return undefined;
  }
}

const MEAN_WEIGHT = 0.05;

/** Exponentially weighted means by route, in place of quantiles. */
class MeanCosts extends CostBook {
  readonly #means = new Map<string, number>();

  override record(kind: CostKind, key: CostKey, value: number): void {
    const name = `${kind} ${key.route}`;
    const mean = this.#means.get(name) ?? value;
    this.#means.set(name, mean + MEAN_WEIGHT * (value - mean));
  }

  override estimate(kind: CostKind, { route }: CostKey): number | undefined {
    return this.#means.get(`${kind} ${route}`);
  }

  override estimateLength(key: CostKey, { limitTokens }: StatedLength): LengthEstimate {
    const tokens = limitTokens * (this.estimate(CostKind.Length, key) ?? 1);
    return { tokens, memoryTokens: tokens };
  }
}

/** Costs of one simulated process; undefined for published constants alone. */
export const newCosts = (
  policy: CostPolicy,
  clock: Clock,
  getPace: (upstream: string) => number,
): CostBook | undefined => {
  switch (policy) {
    case CostPolicy.Off:
      return undefined;
    case CostPolicy.Published:
      return new PublishedCosts(clock, () => 1);
    case CostPolicy.Means:
      return new MeanCosts(clock);
    case CostPolicy.Quantiles:
      return new CostBook(clock);
    case CostPolicy.Hindsight:
      return new KnownCosts(clock, getPace);
  }
};
