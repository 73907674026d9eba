import type { Clock, Random } from "@lycheepulley/core";

import { sample } from "../sample.js";

/** Time for which a peer that couldn't connect isn't asked again, while others are left. */
const AVOIDED_MS = 5_000;

/** Chooses the peers through which a process without links of its own reaches upstreams. */
export class DetourPeers {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #getHosts: () => readonly string[];
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: { clock: Clock; random: Random; getHosts: () => readonly string[] }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#getHosts = options.getHosts;
  }

  /** At most `count` peers in the order in which to ask them; those that failed lately come last. */
  select(count: number): string[] {
    const now = this.#clock.now();
    for (const [host, untilMs] of this.#avoidedUntilMs) {
      if (untilMs <= now) {
        this.#avoidedUntilMs.delete(host);
      }
    }
    const hosts = this.#getHosts();
    const pick = (isAvoided: boolean, max: number): string[] =>
      sample(
        hosts.filter((host) => this.#avoidedUntilMs.has(host) === isAvoided),
        max,
        this.#random,
      );
    const fresh = pick(false, count);
    return [...fresh, ...pick(true, count - fresh.length)];
  }

  /** Records that a peer didn't answer, or couldn't connect either. */
  recordFailed(host: string): void {
    this.#avoidedUntilMs.set(host, this.#clock.now() + AVOIDED_MS);
  }
}
