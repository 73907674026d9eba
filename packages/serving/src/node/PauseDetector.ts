import type { Clock } from "@lycheepulley/core";
import type { FoldReader } from "@lycheepulley/log";

const TICK_MS = 250;
/** A gap between two ticks above this is a pause of the process. */
const PAUSE_MS = 2_000;
/** After a pause, the log is waited for this long at most. */
const REFRESH_LIMIT_MS = 2_000;

/** Notices when the whole process stood still, so that it doesn't act on old knowledge. */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #reader: FoldReader;
  #tickedMs: number;
  #wokeMs = -Infinity;
  #isStopped = false;

  constructor(options: { clock: Clock; reader: FoldReader }) {
    this.#clock = options.clock;
    this.#reader = options.reader;
    this.#tickedMs = options.clock.now();
    this.#schedule();
  }

  /** Tells whether the process stood still at some time after `sinceMs`. */
  hasPausedSince(sinceMs: number): boolean {
    this.#tick();
    return this.#wokeMs > sinceMs;
  }

  /** False after a pause until the agreed state was read again, or the log stays silent. */
  isAgreedStateFresh(): boolean {
    this.#tick();
    const isReread = this.#reader.lastReadStartMs >= this.#wokeMs;
    return isReread || this.#clock.now() - this.#wokeMs > REFRESH_LIMIT_MS;
  }

  stop(): void {
    this.#isStopped = true;
  }

  #tick(): void {
    const now = this.#clock.now();
    if (now - this.#tickedMs > PAUSE_MS) {
      this.#wokeMs = now;
    }
    this.#tickedMs = now;
  }

  #schedule(): void {
    this.#clock.setTimer(() => {
      if (!this.#isStopped) {
        this.#tick();
        this.#schedule();
      }
    }, TICK_MS);
  }
}
