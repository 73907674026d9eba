import { SystemClock, type Clock } from "../clock.js";

/** Pieces that may come at once, and those that may come in each second from then on. */
const BURST_PIECES = 4_096;
const PIECES_PER_S = 2_048;
/** From this size on, a piece costs little more than its bytes. */
const LARGE_PIECE_BYTES = 512;
const MS_PER_S = 1_000;

/** What a message has cost so far. */
export interface ReadCost {
  readonly bytes: number;
  readonly pieces: number;
  readonly ms: number;
}

/** A message comes in more small pieces than a sound sender makes. */
export class FloodError extends Error {
  readonly code = "ERR_FLOOD";

  constructor(readonly cost: ReadCost) {
    const { pieces, bytes, ms } = cost;
    super(
      `flood: ${String(pieces)} pieces, ${String(bytes)} bytes in ${String(Math.round(ms))} ms`,
    );
    this.name = "FloodError";
  }
}

/**
 * Bounds what the sender of one message makes this process spend. Limits on bytes don't: each piece costs objects and
 * time however small it is. A sound sender that writes token by token stays far below.
 */
export class ReadBudget {
  readonly #clock: Clock;
  readonly #startMs: number;
  #left = BURST_PIECES;
  #refilledMs: number;
  #bytes = 0;
  #pieces = 0;

  constructor(clock: Clock = new SystemClock()) {
    this.#clock = clock;
    this.#startMs = this.#refilledMs = clock.now();
  }

  get cost(): ReadCost {
    const ms = this.#clock.now() - this.#startMs;
    return { bytes: this.#bytes, pieces: this.#pieces, ms };
  }

  /**
   * Charges a piece of the message; `weight` is what a small one costs beside a chunk, which goes through all layers by
   * itself. False once there is nothing left to spend.
   */
  spend(bytes: number, weight = 1): boolean {
    this.#bytes += bytes;
    this.#pieces += 1;
    this.#left -= weight * Math.max(0, 1 - bytes / LARGE_PIECE_BYTES);
    return this.#left >= 0 || this.#refill();
  }

  #refill(): boolean {
    const now = this.#clock.now();
    const refilled = ((now - this.#refilledMs) * PIECES_PER_S) / MS_PER_S;
    this.#refilledMs = now;
    this.#left = Math.min(BURST_PIECES, this.#left + refilled);
    return this.#left >= 0;
  }
}
