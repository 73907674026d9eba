import type { Socket } from "node:net";

import type { Clock } from "@lycheepulley/core";
import { isReset, keepReading } from "@lycheepulley/http";

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
  readonly #socket: Socket;
  #askedMs: number;

  constructor(probe: HalfClosedProbe, { clock, socket }: { clock: Clock; socket: Socket }) {
    this.#probe = probe;
    this.#socket = socket;
    this.#clock = clock;
    this.#askedMs = clock.now();
  }

  /**
   * Resolves to false for a caller whose reset is known. One that may have left before its request was read is
   * asked first.
   */
  async check(mayHaveLeft: boolean): Promise<boolean> {
    if (mayHaveLeft) {
      this.#askedMs = this.#clock.now();
      await keepReading(this.#socket, this.#probe.settle());
    }
    return !isReset(this.#socket);
  }

  /** Asks one that may have left since; undefined when it was asked a short time ago. */
  confirm(): Promise<void> | undefined {
    const now = this.#clock.now();
    if (now - this.#askedMs <= MAX_UNSEEN_MS) {
      return undefined;
    }
    this.#askedMs = now;
    return keepReading(this.#socket, this.#probe.settleAgain());
  }
}
