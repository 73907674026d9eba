import type { Clock, Random } from "@lycheepulley/core";

import { sample } from "../sample.js";

/** Time for which a peer that couldn't connect isn't asked again, while others are left. */
const AVOIDED_MS = 5_000;

/** Chooses the peers through which a process without links of its own reaches upstreams. */
export class DetourPeers {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #getHosts: () => readonly string[];
  readonly #getLeavingHosts: () => readonly string[];
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: {
    clock: Clock;
    random: Random;
    /** Peers that serve callers. */
    getHosts: () => readonly string[];
    /** Peers that are about to end, which relay for some time yet. */
    getLeavingHosts: () => readonly string[];
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#getHosts = options.getHosts;
    this.#getLeavingHosts = options.getLeavingHosts;
  }

  /** At most `count` allowed peers in the order in which to ask them: then those that leave, then those that failed lately. */
  select(count: number, isAllowed: (host: string) => boolean = () => true): string[] {
    const now = this.#clock.now();
    for (const [host, untilMs] of this.#avoidedUntilMs) {
      if (untilMs <= now) {
        this.#avoidedUntilMs.delete(host);
      }
    }
    const serving = this.#getHosts().filter(isAllowed);
    const leaving = this.#getLeavingHosts().filter(isAllowed);
    const isAvoided = (host: string): boolean => this.#avoidedUntilMs.has(host);
    const isFresh = (host: string): boolean => !isAvoided(host);
    const groups = [
      serving.filter(isFresh),
      leaving.filter(isFresh),
      [...serving, ...leaving].filter(isAvoided),
    ];
    return groups.flatMap((hosts) => sample(hosts, hosts.length, this.#random)).slice(0, count);
  }

  /** Records that a peer didn't answer, or couldn't connect either. */
  recordFailed(host: string): void {
    this.#avoidedUntilMs.set(host, this.#clock.now() + AVOIDED_MS);
  }
}
