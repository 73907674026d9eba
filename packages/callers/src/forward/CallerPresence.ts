import type { Clock } from "@lycheepulley/core";

import type { HalfClosedProbe } from "./halfClosed.js";

/** Time after which a caller is asked again: the process may have been frozen, and the caller have left. */
const MAX_UNSEEN_MS = 250;

/**
 * Decides whether the caller of a request is still there before anything is sent for it. The request's
 * signal aborts when it isn't.
 */
export class CallerPresence {
  readonly #probe: HalfClosedProbe;
  readonly #clock: Clock;
  #askedMs = -Infinity;

  constructor(probe: HalfClosedProbe, clock: Clock) {
    this.#probe = probe;
    this.#clock = clock;
  }

  /** Resolves once a caller that left before its request was read is known to be gone. */
  async ask(): Promise<void> {
    this.#askedMs = this.#clock.now();
    await this.#probe.settle();
  }

  /** The same for one that may have left since; undefined when it was asked a short time ago. */
  confirm(): Promise<void> | undefined {
    const now = this.#clock.now();
    if (now - this.#askedMs <= MAX_UNSEEN_MS) {
      return undefined;
    }
    this.#askedMs = now;
    return this.#probe.settleAgain();
  }
}
