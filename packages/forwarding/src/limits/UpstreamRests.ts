import type { Clock, Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

/** Longest rest that is granted; a longer one is taken for an error. */
const MAX_REST_MS = 60_000;
/** Share of a rest by which it is prolonged at random, so that processes return one after the other. */
const RETURN_SPREAD = 0.2;
const MAX_RETURN_SPREAD_MS = 1_000;

/** Tracks the upstreams that want no requests from this process for some time. */
export class UpstreamRests {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #logger: Logger;
  readonly #untilMs = new Map<string, number>();

  constructor(options: { clock: Clock; random: Random; logger: Logger }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#logger = options.logger;
  }

  /** Number of upstreams that rest. */
  get count(): number {
    const now = this.#clock.now();
    return [...this.#untilMs.values()].filter((untilMs) => untilMs > now).length;
  }

  /** Records that an upstream asked for a rest; a later, shorter one doesn't end the first. */
  record(upstream: string, restMs: number): void {
    const grantedMs = Math.min(MAX_REST_MS, restMs);
    if (grantedMs <= 0) {
      return;
    }
    const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, RETURN_SPREAD * grantedMs);
    const untilMs = this.#clock.now() + grantedMs + spreadMs * this.#random.next();
    if (untilMs > (this.#untilMs.get(upstream) ?? 0)) {
      this.#untilMs.set(upstream, untilMs);
      this.#logger.info("upstream asked for rest", {
        ...{ step: "limit", peer: upstream, restMs: Math.round(restMs) },
        ms: Math.round(untilMs - this.#clock.now()),
      });
    }
  }

  /** Time after which requests may go to the upstream again, milliseconds. */
  getLeftMs(upstream: string): number {
    return Math.max(0, (this.#untilMs.get(upstream) ?? 0) - this.#clock.now());
  }

  /** Forgets an upstream that started again under its id. */
  forget(upstream: string): void {
    this.#untilMs.delete(upstream);
  }

  /** Forgets upstreams that are no longer listed and don't rest. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#untilMs.keys()]
      .filter((id) => !ids.has(id) && this.getLeftMs(id) === 0)
      .forEach((id) => this.#untilMs.delete(id));
  }
}
