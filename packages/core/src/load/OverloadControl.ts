import type { Clock } from "../clock.js";
import type { Random } from "../random.js";
import { AcceptRun } from "./AcceptRun.js";
import { LoopTurns, type AfterTurn, type Wait } from "./LoopTurns.js";
import { OverloadDetector, type OverloadChange } from "./OverloadDetector.js";
import { RejectionWindow } from "./RejectionWindow.js";

/** Longest wait of work that is taken in, in a burst and while the process is overloaded. */
const MAX_WAIT_MS = { burst: 150, overload: 20 } as const;
/** The same for work that waits in a turn of the event loop: it will wait for some more before its answer. */
const MAX_TURN_WAIT_MS = { burst: 80, overload: 5 } as const;
/** Wait after which it matters whether a caller is still there. */
const MAX_UNSEEN_MS = 250;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 5_000;
/** Share of the time to return by which it varies, so that callers don't return all at once. */
const RETRY_SPREAD = 0.5;

/** What a process does with its load, for logs and metrics. */
export interface OverloadObserver {
  /** Time that work may have waited before this process looked at it, milliseconds. */
  onWait?(waitMs: number): void;
  onRejected?(): void;
  onChange?(change: OverloadChange): void;
}

/**
 * Decides for all listeners of a process whether work is taken in, by how long it has waited. Work that
 * waits longer than the process can make up for is rejected at once, so that the rest is in time.
 */
export class OverloadControl {
  readonly turns: LoopTurns;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #detector: OverloadDetector;
  readonly #window: RejectionWindow;
  readonly #observer: OverloadObserver;

  constructor(options: {
    clock: Clock;
    random: Random;
    /** Replace those of the runtime, for tests. */
    loop?: { readonly afterTurn: AfterTurn; readonly getIdleMs: () => number };
    observer?: OverloadObserver;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#observer = options.observer ?? {};
    this.turns = new LoopTurns(options.clock, options.loop);
    this.#window = new RejectionWindow(options.clock);
    this.#detector = new OverloadDetector(options.clock, (change) => {
      this.#observer.onChange?.(change);
    });
  }

  get isOverloaded(): boolean {
    return this.#detector.isOverloaded;
  }

  /** Follows the connections of one listener. */
  newAcceptRun(): AcceptRun {
    return new AcceptRun(this.#clock, this.turns);
  }

  /** True for work that has waited too long to be taken in. */
  isLate({ sinceMs }: Pick<Wait, "sinceMs">): boolean {
    return this.#clock.now() - sinceMs > MAX_WAIT_MS[this.#phase];
  }

  get #phase(): keyof typeof MAX_WAIT_MS {
    return this.isOverloaded ? "overload" : "burst";
  }

  /**
   * Takes work in, or returns the time after which its caller should come back, milliseconds. Each piece
   * of work is decided on once.
   */
  decide(wait: Wait): number | undefined {
    return this.#decide(wait, this.isLate(wait));
  }

  /** The same for a request that is read: with its connection, or in a turn of its own. */
  decideRead(connection: Wait | undefined, read: Wait): number | undefined {
    return connection
      ? this.decide(connection)
      : this.#decide(read, this.#clock.now() - read.sinceMs > MAX_TURN_WAIT_MS[this.#phase]);
  }

  /** True where a caller may have left so long ago that nothing should run for it. */
  mayHaveLeft(connection: Wait | undefined, read: Wait): boolean {
    const sinceMs = Math.min(read.possiblySinceMs, this.turns.unseenSinceMs);
    const isLongAgo = this.#clock.now() - sinceMs > MAX_UNSEEN_MS;
    return connection !== undefined || this.turns.isAfterIdle || isLongAgo;
  }

  #decide(wait: Wait, isLate: boolean): number | undefined {
    const waitMs = this.#clock.now() - wait.possiblySinceMs;
    this.#observer.onWait?.(waitMs);
    this.#detector.record(waitMs, isLate);
    this.#window.record(isLate);
    if (!isLate) {
      return undefined;
    }
    this.#observer.onRejected?.();
    return this.#getRetryAfterMs();
  }

  /** Time in which the process serves as many as it has rejected in the last second. */
  #getRetryAfterMs(): number {
    const neededMs = this.#window.getBacklogMs();
    const bounded = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, neededMs));
    return Math.round(bounded * (1 + RETRY_SPREAD * this.#random.next()));
  }

  stop(): void {
    this.#detector.stop();
  }
}
