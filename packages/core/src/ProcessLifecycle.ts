import type { Cancel } from "./clock.js";

/** States of a process, in the order in which it passes them. */
export const ProcessState = {
  /** It serves callers, or will once it knows what to send where. */
  Serving: "serving",
  /** Callers are no longer directed to it; those that know its address are served. */
  Leaving: "leaving",
  /** It accepts no connections, and waits for what is in progress on those that are open. */
  Draining: "draining",
  /** It takes no requests, has ended all sends and only writes answers. */
  Closing: "closing",
  /** It is about to exit. */
  Stopped: "stopped",
} as const;
export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];

const ORDER: readonly ProcessState[] = Object.values(ProcessState);

/** Times of a drain, in milliseconds from its start. */
export interface DrainTimes {
  /** Time until the process accepts no connections. */
  readonly listenMs: number;
  /** Time until requests in progress are ended. */
  readonly drainMs: number;
  /** Time for the answers after that, or after the last request has ended. */
  readonly closeMs: number;
}

/**
 * Decides when a process takes no connections, takes no requests, and exits. It has neither timers nor
 * sockets: who drains the process calls `advance` and acts on the state, and all others ask it.
 */
export class ProcessLifecycle {
  #state: ProcessState = ProcessState.Serving;
  #leftAtMs = Infinity;
  #listenUntilMs = Infinity;
  #endAtMs = Infinity;
  #closeMs = 0;
  #stopAtMs = Infinity;
  readonly #listeners = new Set<() => void>();

  get state(): ProcessState {
    return this.#state;
  }

  /** Monotonic time at which the drain began; `Infinity` before. */
  get leftAtMs(): number {
    return this.#leftAtMs;
  }

  /** Monotonic time at which requests in progress are ended; `Infinity` until the process drains. */
  get endAtMs(): number {
    return this.#endAtMs;
  }

  /** True from the start of the drain on. */
  get isLeaving(): boolean {
    return this.has(ProcessState.Leaving);
  }

  /** True once nothing is admitted, sent or relayed any more. */
  get isClosing(): boolean {
    return this.has(ProcessState.Closing);
  }

  /** True when the process is in a state or has passed it. */
  has(state: ProcessState): boolean {
    return ORDER.indexOf(this.#state) >= ORDER.indexOf(state);
  }

  /** Starts the drain; false when it has begun before. */
  leave(nowMs: number, { listenMs, drainMs, closeMs }: DrainTimes): boolean {
    if (this.isLeaving) {
      return false;
    }
    this.#leftAtMs = nowMs;
    this.#listenUntilMs = nowMs + Math.min(listenMs, drainMs);
    this.#endAtMs = nowMs + drainMs;
    this.#closeMs = closeMs;
    this.#enter(ProcessState.Leaving);
    return true;
  }

  /** Passes at most one state on; `inProgress` counts what the process would cut if it ended now. */
  advance(nowMs: number, inProgress: number): ProcessState {
    const isIdle = inProgress === 0;
    if (this.#state === ProcessState.Leaving && nowMs >= this.#listenUntilMs) {
      this.#enter(ProcessState.Draining);
    } else if (this.#state === ProcessState.Draining && (isIdle || nowMs >= this.#endAtMs)) {
      this.#endAtMs = Math.min(this.#endAtMs, nowMs);
      this.#stopAtMs = nowMs + this.#closeMs;
      this.#enter(ProcessState.Closing);
    } else if (this.#state === ProcessState.Closing && (isIdle || nowMs >= this.#stopAtMs)) {
      this.#enter(ProcessState.Stopped);
    }
    return this.#state;
  }

  /** Monotonic time of the next change at the latest; `Infinity` where none is due. */
  get nextChangeMs(): number {
    switch (this.#state) {
      case ProcessState.Leaving:
        return this.#listenUntilMs;
      case ProcessState.Draining:
        return this.#endAtMs;
      case ProcessState.Closing:
        return this.#stopAtMs;
      default:
        return Infinity;
    }
  }

  /** Calls `listener` once the process has come to `state`, which may be now. */
  on(state: ProcessState, listener: () => void): Cancel {
    const check = (): void => {
      if (this.has(state)) {
        this.#listeners.delete(check);
        listener();
      }
    };
    this.#listeners.add(check);
    check();
    return () => {
      this.#listeners.delete(check);
    };
  }

  #enter(state: ProcessState): void {
    this.#state = state;
    [...this.#listeners].forEach((check) => {
      check();
    });
  }
}
