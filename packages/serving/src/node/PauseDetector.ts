import type { Clock } from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";

const TICK_INTERVAL_MS = 250;
/** A longer gap between two ticks means that the process was paused. */
const MIN_PAUSE_MS = 2_000;
/** Longest wait for the log after a pause. */
const REREAD_TIMEOUT_MS = 2_000;

/** Detects pauses of the whole process, after which its view of the agreed state may be stale. */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #reader: FoldReader;
  #lastTickMs: number;
  #resumedMs = -Infinity;
  #isStopped = false;

  constructor(options: { clock: Clock; reader: FoldReader }) {
    this.#clock = options.clock;
    this.#reader = options.reader;
    this.#lastTickMs = options.clock.now();
    this.#schedule();
  }

  /** Tells whether a pause of the process ended after `sinceMs`. */
  hasPausedSince(sinceMs: number): boolean {
    this.#tick();
    return this.#resumedMs > sinceMs;
  }

  /** False after a pause until the log was read again, or until the wait for it times out. */
  isAgreedStateFresh(): boolean {
    this.#tick();
    const isReread = this.#reader.lastReadStartMs >= this.#resumedMs;
    return isReread || this.#clock.now() - this.#resumedMs > REREAD_TIMEOUT_MS;
  }

  stop(): void {
    this.#isStopped = true;
  }

  #tick(): void {
    const now = this.#clock.now();
    if (now - this.#lastTickMs > MIN_PAUSE_MS) {
      this.#resumedMs = now;
    }
    this.#lastTickMs = now;
  }

  #schedule(): void {
    this.#clock.setTimer(() => {
      if (!this.#isStopped) {
        this.#tick();
        this.#schedule();
      }
    }, TICK_INTERVAL_MS);
  }
}
