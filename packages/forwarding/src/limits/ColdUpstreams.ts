import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { ColdStart, Upstream } from "../fleetConfig.js";

/** Longest time for which a peer's word makes an upstream cold. */
const MAX_COLD_MS = 60_000;
/**
 * Upstreams whose failure domain was evacuated may have become cold before its return. Until the list
 * would say so, they count as cold: the time between two writes of an entry and two reads, with a margin.
 */
const RETURN_MS = 2_500;

/** What a process knows of an upstream that is cold. */
export interface ColdReport {
  readonly upstream: string;
  /** Time for which it stays cold. */
  readonly leftMs: number;
  /** Requests a second that it takes meanwhile from all processes together. */
  readonly perSecond: number;
}

/** A cold upstream, with the time that its kind stays cold after a start. */
export interface ColdUpstream extends ColdReport {
  readonly durationMs: number;
}

interface ColdState {
  readonly coldStart: ColdStart;
  /** Time left as the list named it last; a change is news, the same value is the same entry. */
  readonly listedMs: number;
  readonly untilMs: number;
}

/** Tracks the upstreams that are cold, from lists, answers and peers. */
export class ColdUpstreams {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #onNews: (reports: readonly ColdReport[]) => void;
  readonly #getReturnedMs: (upstream: string) => number;
  readonly #states = new Map<string, ColdState>();

  constructor(options: {
    clock: Clock;
    logger: Logger;
    /** Called when this process finds upstreams cold that the list had shown warm. */
    onNews: (reports: readonly ColdReport[]) => void;
    /** Time since an evacuation of the upstream's failure domain was taken back; Infinity for none. */
    getReturnedMs?: (upstream: string) => number;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#onNews = options.onNews;
    this.#getReturnedMs = options.getReturnedMs ?? ((): number => Infinity);
  }

  /** Upstreams that are cold. */
  get all(): readonly ColdUpstream[] {
    return [...this.#states.keys()].flatMap((id) => this.get(id) ?? []);
  }

  /** The state of an upstream; undefined while it isn't cold. */
  get(upstream: string): ColdUpstream | undefined {
    const state = this.#states.get(upstream);
    const leftMs = Math.max(this.#getToldMs(upstream), RETURN_MS - this.#getReturnedMs(upstream));
    return state && leftMs > 0 ? { upstream, leftMs, ...state.coldStart } : undefined;
  }

  /** Time for which an upstream stays cold as it, the list or a peer says; negative for none. */
  #getToldMs(upstream: string): number {
    return (this.#states.get(upstream)?.untilMs ?? -Infinity) - this.#clock.now();
  }

  /**
   * Takes what a list says of upstreams. A list from a peer counts only for those that aren't known:
   * its times may be as old as its entries.
   */
  observe(
    upstreams: Iterable<Upstream>,
    options: { isDirect: boolean; getColdStart: (pool: string) => ColdStart | undefined },
  ): void {
    const news: ColdReport[] = [];
    for (const { id, pool, coldMs = 0 } of upstreams) {
      const coldStart = options.getColdStart(pool);
      const known = this.#states.get(id);
      if (!coldStart) {
        this.#states.delete(id);
      } else if (!known || (options.isDirect && known.listedMs !== coldMs)) {
        const wasCold = this.#getToldMs(id) > 0;
        const untilMs = this.#clock.now() + Math.min(coldMs, coldStart.durationMs);
        this.#states.set(id, { coldStart, listedMs: coldMs, untilMs });
        const now = this.get(id);
        if (now && !wasCold) {
          this.#log(now, known ? "list" : "start");
          news.push(...(known ? [now] : []));
        }
      }
    }
    if (news.length > 0) {
      this.#onNews(news);
    }
  }

  /** Takes what an upstream says of itself. */
  record(upstream: string, leftMs: number): void {
    const known = this.#states.get(upstream);
    if (!known) {
      return;
    }
    const wasCold = this.#getToldMs(upstream) > 0;
    const untilMs = this.#clock.now() + Math.min(leftMs, known.coldStart.durationMs);
    this.#states.set(upstream, { ...known, untilMs });
    const now = this.get(upstream);
    if (now && !wasCold) {
      this.#log(now, "answer");
      this.#onNews([now]);
    }
  }

  /** Takes what a peer knows; it may make an upstream cold for longer, and never warm. */
  recordPeer(peer: string, { upstream, leftMs, perSecond }: ColdReport): void {
    const known = this.#states.get(upstream);
    const wasCold = this.#getToldMs(upstream) > 0;
    const coldStart = known?.coldStart ?? { perSecond, durationMs: MAX_COLD_MS };
    const untilMs = this.#clock.now() + Math.min(leftMs, coldStart.durationMs);
    this.#states.set(upstream, {
      ...{ coldStart, listedMs: known?.listedMs ?? 0 },
      untilMs: Math.max(known?.untilMs ?? -Infinity, untilMs),
    });
    const now = this.get(upstream);
    if (now && !wasCold) {
      this.#log(now, peer);
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#states.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#states.delete(id));
  }

  #log({ upstream, leftMs, perSecond }: ColdUpstream, from: string): void {
    this.#logger.info("upstream cold", {
      ...{ step: "limit", peer: upstream, perSecond, leftMs: Math.round(leftMs), from },
    });
  }
}
