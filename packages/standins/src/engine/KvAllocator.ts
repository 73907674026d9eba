import type { Clock } from "@lycheepulley/core";

/** What a piece of KV memory is used for. */
export const HoldingKind = {
  Reservation: "reservation",
  Stream: "stream",
  Export: "export",
} as const;
export type HoldingKind = (typeof HoldingKind)[keyof typeof HoldingKind];

/** KV memory that is allocated under one id. */
export interface Holding {
  readonly id: string;
  readonly owner: string;
  tokens: number;
  kind: HoldingKind;
  /** Monotonic time at which the memory is freed; Infinity for running streams. */
  termEndMs: number;
}

/** Allocates the KV memory of one engine, in tokens. */
export class KvAllocator {
  readonly #clock: Clock;
  readonly #totalTokens: number;
  readonly #holdings = new Map<string, Holding>();
  /** Simulated fault: memory of expired, cancelled and finished work isn't freed. */
  leaksMemory = false;

  constructor(clock: Clock, totalTokens: number) {
    this.#clock = clock;
    this.#totalTokens = totalTokens;
  }

  get usedTokens(): number {
    let used = 0;
    for (const holding of this.#holdings.values()) {
      used += holding.tokens;
    }
    return used;
  }

  get freeTokens(): number {
    return this.#totalTokens - this.usedTokens;
  }

  get(id: string): Holding | undefined {
    return this.#holdings.get(id);
  }

  /** Allocates memory if enough is free; does nothing if the id already has some. */
  tryAllocate(holding: Holding): boolean {
    this.expire();
    if (this.#holdings.has(holding.id)) {
      return true;
    }
    if (holding.tokens > this.freeTokens) {
      return false;
    }
    this.#holdings.set(holding.id, { ...holding });
    return true;
  }

  release(id: string): boolean {
    return this.#holdings.delete(id);
  }

  list(): Holding[] {
    this.expire();
    return [...this.#holdings.values()];
  }

  clear(): void {
    this.#holdings.clear();
  }

  /** Frees memory whose term has ended. */
  expire(): void {
    if (this.leaksMemory) {
      return;
    }
    const now = this.#clock.now();
    for (const [id, holding] of this.#holdings) {
      if (holding.termEndMs <= now) {
        this.#holdings.delete(id);
      }
    }
  }
}
