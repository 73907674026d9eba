import type { Upstream } from "../fleetConfig.js";
import type { UpstreamControl } from "../types.js";
import type { SendQuota } from "./SendQuota.js";

/** Counts the orders to upstreams with limits, and spares these and resting ones the probes. */
export class LimitedControl implements UpstreamControl {
  readonly #control: UpstreamControl;
  readonly #quota: SendQuota;

  constructor(control: UpstreamControl, quota: SendQuota) {
    this.#control = control;
    this.#quota = quota;
  }

  /** A limited upstream is taken to be alive; it is replaced after the longer time-out. */
  isAlive(upstream: Upstream): Promise<boolean> {
    const { id } = upstream;
    if (this.#quota.namesLimit(id) || this.#quota.isResting(id)) {
      return Promise.resolve(true);
    }
    this.#quota.charge(id);
    return this.#control.isAlive(upstream);
  }

  /** Asks any upstream whether it is alive, also a limited or resting one. */
  probe(upstream: Upstream): Promise<boolean> {
    this.#quota.charge(upstream.id);
    return this.#control.isAlive(upstream);
  }

  reserve(
    upstream: Upstream,
    reservation: Parameters<UpstreamControl["reserve"]>[1],
  ): Promise<boolean> {
    if (this.#quota.isResting(upstream.id)) {
      return Promise.resolve(false);
    }
    this.#quota.charge(upstream.id);
    return this.#control.reserve(upstream, reservation);
  }

  /** Goes to a resting upstream too, which has its memory back sooner. */
  release(upstream: Upstream, reservationId: string): Promise<void> {
    this.#quota.charge(upstream.id);
    return this.#control.release(upstream, reservationId);
  }
}
