import type { Cancel, Clock } from "../../clock.js";

/** An event loop and its clock that move only as told. */
export class TurnLoop implements Clock {
  #nowMs = 0;
  #idleMs = 0;
  #queue: (() => void)[] = [];
  #timers: { readonly atMs: number; readonly fn: () => void }[] = [];

  now(): number {
    return this.#nowMs;
  }

  wall(): number {
    return this.#nowMs;
  }

  setTimer(fn: () => void, delayMs: number): Cancel {
    const timer = { atMs: this.#nowMs + delayMs, fn };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Calls `fn` at the end of the turn. */
  readonly afterTurn = (fn: () => void): void => {
    this.#queue.push(fn);
  };

  readonly getIdleMs = (): number => this.#idleMs;

  /** Waits for events, or is frozen. */
  rest(ms: number): void {
    this.#idleMs += ms;
    this.advance(ms);
  }

  /** Lets time pass, and runs the timers that are due. */
  advance(ms: number): void {
    this.#nowMs += ms;
    const due = this.#timers.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#timers = this.#timers.filter(({ atMs }) => atMs > this.#nowMs);
    due.forEach(({ fn }) => {
      fn();
    });
  }

  /** Ends the turn, which took `ms`. */
  endTurn(ms = 0): void {
    this.advance(ms);
    this.#queue.splice(0).forEach((fn) => {
      fn();
    });
  }
}
