import type { ColdUpstreams } from "./ColdUpstreams.js";
import type { UpstreamLimits } from "./UpstreamLimits.js";

/** Sends a second to an upstream whose limit is lower, so that its end gets known. */
const MIN_PER_SECOND = 0.1;

/** Requests a second that an upstream takes from all processes together. */
export interface SharedRate {
  readonly upstream: string;
  readonly perSecond: number;
  readonly isCold: boolean;
  /** The limit that the upstream names, if any. */
  readonly limitPerSecond: number | undefined;
}

/** The rates in force: the limits that upstreams name, and what those that are cold bear. */
export class SharedRates {
  readonly #limits: UpstreamLimits;
  readonly #cold: ColdUpstreams | undefined;

  constructor(limits: UpstreamLimits, cold: ColdUpstreams | undefined) {
    this.#limits = limits;
    this.#cold = cold;
  }

  get all(): readonly SharedRate[] {
    const limited = this.#limits.all.map(({ upstream }) => upstream);
    const cold = (this.#cold?.all ?? []).map(({ upstream }) => upstream);
    return [...new Set([...limited, ...cold])].flatMap((upstream) => this.get(upstream) ?? []);
  }

  /** The lower rate of an upstream; undefined for one that takes any number of requests. */
  get(upstream: string): SharedRate | undefined {
    const named = this.#limits.get(upstream)?.perSecond;
    const cold = this.#cold?.get(upstream)?.perSecond;
    if (named === undefined && cold === undefined) {
      return undefined;
    }
    const limitPerSecond = named === undefined ? undefined : Math.max(MIN_PER_SECOND, named);
    return {
      ...{ upstream, isCold: cold !== undefined, limitPerSecond },
      perSecond: Math.min(limitPerSecond ?? Infinity, cold ?? Infinity),
    };
  }
}
