import { rendezvousScore, type Clock } from "@lycheepulley/core";

/** Time for which a send of a slot may be taken; what isn't taken by then is lost. */
const OPEN_MS = 250;
const MS_PER_S = 1_000;
const MAX_SCORE = 2 ** 48;

/**
 * One send a slot for each upstream, at times that differ between processes. Sends that were saved up by
 * many processes would come at once; slots keep the sum near the rate without any message.
 */
export class PartSlots {
  readonly #clock: Clock;
  readonly #takenMs = new Map<string, number>();
  /** Shares of a period by which the slots of this process are shifted. */
  readonly #phases = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes the send of the current slot at `ratePerS`; returns the time until the next one, or 0 when taken. */
  take(self: string, upstream: string, ratePerS: number): number {
    const now = this.#clock.now();
    const periodMs = MS_PER_S / ratePerS;
    const openMs = Math.min(periodMs, OPEN_MS);
    const sinceOpenMs = (now + this.#getPhase(self, upstream) * periodMs) % periodMs;
    const sinceTakenMs = now - (this.#takenMs.get(upstream) ?? -Infinity);
    if (sinceOpenMs < openMs && sinceTakenMs >= periodMs - openMs && sinceTakenMs > sinceOpenMs) {
      this.#takenMs.set(upstream, now);
      return 0;
    }
    return periodMs - sinceOpenMs;
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const map of [this.#takenMs, this.#phases]) {
      [...map.keys()].filter((id) => !ids.has(id)).forEach((id) => map.delete(id));
    }
  }

  #getPhase(self: string, upstream: string): number {
    const phase = this.#phases.get(upstream) ?? rendezvousScore(upstream, self) / MAX_SCORE;
    this.#phases.set(upstream, phase);
    return phase;
  }
}
