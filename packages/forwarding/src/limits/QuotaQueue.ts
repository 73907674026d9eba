import { sleep, type Clock } from "@lycheepulley/core";

import type { SendQuota } from "./SendQuota.js";

/** A request that waits until one of its upstreams takes another send. */
export interface QuotaWait {
  /** Ids of the upstreams, which all have limits. */
  readonly upstreams: readonly string[];
  readonly value: number;
  /** Monotonic time after which a send is of no use. */
  readonly untilMs: number;
  readonly signal: AbortSignal;
}

/** Lets as many requests wait for quotas as can expect to be sent in time, the worthier ones first. */
export class QuotaQueue {
  readonly #clock: Clock;
  readonly #quota: SendQuota;
  readonly #waiting = new Set<QuotaWait>();

  constructor(clock: Clock, quota: SendQuota) {
    this.#clock = clock;
    this.#quota = quota;
  }

  /** Time until one of the upstreams may take another send, milliseconds; 0 without upstreams. */
  getOpenInMs(upstreams: readonly string[]): number {
    return upstreams.length === 0
      ? 0
      : Math.min(...upstreams.map((id) => this.#quota.getOpenInMs(id)));
  }

  /** Resolves with true when it's time to ask again, and with false at once when that would be too late. */
  async wait(wait: QuotaWait): Promise<boolean> {
    if (!this.admits(wait)) {
      return false;
    }
    this.#waiting.add(wait);
    try {
      await sleep(this.#clock, this.getOpenInMs(wait.upstreams), wait.signal);
    } finally {
      this.#waiting.delete(wait);
    }
    return true;
  }

  /** True when the request can expect to be sent in time. */
  admits(wait: QuotaWait): boolean {
    const leftMs = wait.untilMs - this.#clock.now();
    const expectedSends = (this.#quota.getOwnPerSecond(wait.upstreams) * leftMs) / 1_000;
    const isInTime = this.getOpenInMs(wait.upstreams) < leftMs;
    return isInTime && this.#countAhead(wait) < Math.max(1, expectedSends);
  }

  /** Waiting requests for the same upstreams that are worth at least as much. */
  #countAhead({ upstreams, value }: QuotaWait): number {
    const [first] = upstreams;
    return [...this.#waiting].filter(
      (other) => other.value >= value && first !== undefined && other.upstreams.includes(first),
    ).length;
  }
}
