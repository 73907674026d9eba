import type { Cancel, Clock } from "@lycheepulley/core";

/** Time-outs for an upstream that sends nothing. */
export interface StallTimeouts {
  /** Time after which the upstream is asked whether it is alive. */
  readonly probe: StallTimeout;
  /** Time after which another upstream is tried even if this one is alive. */
  readonly replace: StallTimeout;
}

/** One time-out before the first event and one between events, milliseconds. */
export interface StallTimeout {
  readonly firstMs: number;
  readonly gapMs: number;
}

/** A send whose upstream is silent. */
export interface Stall {
  readonly isAlive: boolean;
  /** The load of the upstream explains its silence. */
  readonly isExpected: boolean;
  readonly reason: string;
}

/** Decides what becomes of a stalled send. */
export interface StallHandler {
  /** True while another upstream could take over. */
  canReplace(): boolean;
  /** True when the load of the upstream explains its silence. */
  isExpected(): Promise<boolean>;
  /** Tries another upstream beside the stalled one; false when there is none. */
  replace(stall: Stall): boolean;
}

/** Watches one send for a stall: probes its upstream, and asks for a replacement when it is dead or stalls for too long. */
export class StallWatch {
  readonly #clock: Clock;
  readonly #timeouts: StallTimeouts | undefined;
  readonly #observer: StallHandler;
  readonly #isAlive: () => Promise<boolean>;
  #cancelTimer: Cancel = () => undefined;
  /** Changes when data arrives, so that the result of an earlier probe is ignored. */
  #round = 0;

  constructor(options: {
    clock: Clock;
    /** Undefined when no other upstream may take over. */
    timeouts: StallTimeouts | undefined;
    observer: StallHandler;
    /** Asks the upstream whether it is alive. */
    isAlive: () => Promise<boolean>;
  }) {
    this.#clock = options.clock;
    this.#timeouts = options.timeouts;
    this.#observer = options.observer;
    this.#isAlive = options.isAlive;
  }

  /** Watches from now on, and on again after each decision. */
  start(phase: keyof StallTimeout): void {
    this.stop();
    if (!this.#timeouts) {
      return;
    }
    const round = this.#round;
    const probeMs = this.#timeouts.probe[phase];
    const replaceMs = Math.max(probeMs, this.#timeouts.replace[phase]);
    this.#cancelTimer = this.#clock.setTimer(() => {
      if (!this.#observer.canReplace()) {
        this.start(phase);
        return;
      }
      this.#cancelTimer = this.#clock.setTimer(() => {
        void this.#judgeAlive(phase, replaceMs);
      }, replaceMs - probeMs);
      void this.#isAlive().then((isAlive) => {
        if (
          !isAlive &&
          round === this.#round &&
          this.#replace({ isAlive: false, isExpected: false }, probeMs)
        ) {
          this.start(phase);
        }
      });
    }, probeMs);
  }

  stop(): void {
    this.#cancelTimer();
    this.#round += 1;
  }

  async #judgeAlive(phase: keyof StallTimeout, silentMs: number): Promise<void> {
    const round = this.#round;
    const isExpected = await this.#observer.isExpected();
    if (round === this.#round) {
      this.#replace({ isAlive: true, isExpected }, silentMs);
      this.start(phase);
    }
  }

  #replace(stall: Pick<Stall, "isAlive" | "isExpected">, silentMs: number): boolean {
    const reason = `silent for ${String(Math.round(silentMs))} ms`;
    return this.#observer.replace({ ...stall, reason });
  }
}
