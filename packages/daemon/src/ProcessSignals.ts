/** What a process does when its operator signals it; each is called with the name of the signal. */
export interface SignalHandlers {
  /** Undefined where there is nothing to read again. */
  readonly reload?: (signal: string) => void;
  /** Called once, for the first signal that asks for it. */
  readonly drain: (signal: string) => void;
}

/**
 * Handles the signals of operators, each of which ends a process by default. What is asked for before
 * the process can do it is done as soon as it can.
 */
export class ProcessSignals {
  #handlers: SignalHandlers | undefined;
  #reloadSignal: string | undefined;
  #drainSignal: string | undefined;

  /** Takes the signals of `source` from now on. */
  constructor(source: Pick<NodeJS.EventEmitter, "on" | "once"> = process) {
    source.on("SIGHUP", () => {
      this.#reload("SIGHUP");
    });
    source.on("SIGTERM", () => {
      this.#drain("SIGTERM");
    });
    // Pressed twice, Ctrl+C ends a process in the foreground at once.
    source.once("SIGINT", () => {
      this.#drain("SIGINT");
    });
  }

  /** Handles signals from now on, and what was asked for before. */
  attach(handlers: SignalHandlers): void {
    this.#handlers = handlers;
    if (this.#drainSignal !== undefined) {
      handlers.drain(this.#drainSignal);
    } else if (this.#reloadSignal !== undefined) {
      handlers.reload?.(this.#reloadSignal);
    }
  }

  #reload(signal: string): void {
    this.#reloadSignal = signal;
    this.#handlers?.reload?.(signal);
  }

  #drain(signal: string): void {
    if (this.#drainSignal !== undefined) {
      return;
    }
    this.#drainSignal = signal;
    this.#handlers?.drain(signal);
  }
}
