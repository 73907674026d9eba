import type { Clock } from "./clock.js";

/** Token bucket whose refill rate can be changed. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #burst: number;
  #ratePerS: number;
  #tokens: number;
  #updatedMs: number;

  constructor(options: { clock: Clock; ratePerS: number; burst: number; initialTokens?: number }) {
    this.#clock = options.clock;
    this.#ratePerS = options.ratePerS;
    this.#burst = options.burst;
    this.#tokens = options.initialTokens ?? options.burst;
    this.#updatedMs = options.clock.now();
  }

  setRate(ratePerS: number): void {
    this.#refill();
    this.#ratePerS = ratePerS;
  }

  /** Takes `amount` tokens if they are available. */
  tryTake(amount = 1): boolean {
    this.#refill();
    if (this.#tokens < amount) {
      return false;
    }
    this.#tokens -= amount;
    return true;
  }

  /** Takes `amount` tokens; those that aren't available are owed. */
  take(amount = 1): void {
    this.#refill();
    this.#tokens -= amount;
  }

  /** Milliseconds until `amount` tokens are available. */
  getWaitMs(amount = 1): number {
    this.#refill();
    return Math.max(0, ((amount - this.#tokens) / this.#ratePerS) * 1_000);
  }

  #refill(): void {
    const now = this.#clock.now();
    const refilled = ((now - this.#updatedMs) * this.#ratePerS) / 1_000;
    this.#tokens = Math.min(this.#burst, this.#tokens + refilled);
    this.#updatedMs = now;
  }
}
