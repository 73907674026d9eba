import type { Clock } from "../clock.js";
import type { LoopTurns } from "./LoopTurns.js";

/**
 * Turns in a row in which a listener accepted a connection. The runtime accepts one in a turn, so that
 * a connection may have waited in the system's queue since the last turn without one.
 */
export class AcceptRun {
  readonly #clock: Clock;
  readonly #turns: LoopTurns;
  #startMs: number | undefined;
  #hasAccepted = false;

  constructor(clock: Clock, turns: LoopTurns) {
    this.#clock = clock;
    this.#turns = turns;
  }

  /** Notes a connection; returns the time since which it may have waited. */
  accept(): number {
    this.#hasAccepted = true;
    if (this.#startMs === undefined) {
      this.#startMs = this.#clock.now();
      this.#follow();
    }
    return this.#startMs;
  }

  /** Length of the run so far, milliseconds. */
  get ms(): number {
    return this.#startMs === undefined ? 0 : this.#clock.now() - this.#startMs;
  }

  #follow(): void {
    this.#turns.afterTurn(() => {
      if (!this.#hasAccepted) {
        this.#startMs = undefined;
        return;
      }
      this.#hasAccepted = false;
      this.#follow();
    });
  }
}
