import type { Cancel, Clock } from "@lycheepulley/core";

/** Collects items for a short time and sends them together. */
export class Batcher<T> {
  readonly #clock: Clock;
  readonly #delayMs: number;
  readonly #maxItems: number;
  readonly #send: (items: readonly T[]) => void;
  #items: T[] = [];
  #cancel: Cancel | undefined;

  constructor(options: {
    clock: Clock;
    /** Time for which items are collected into one batch, milliseconds. */
    delayMs: number;
    maxItems: number;
    send: (items: readonly T[]) => void;
  }) {
    this.#clock = options.clock;
    this.#delayMs = options.delayMs;
    this.#maxItems = options.maxItems;
    this.#send = options.send;
  }

  add(item: T): void {
    this.#items.push(item);
    if (this.#items.length >= this.#maxItems) {
      this.flush();
      return;
    }
    this.#cancel ??= this.#clock.setTimer(() => {
      this.flush();
    }, this.#delayMs);
  }

  /** Sends the collected items. */
  flush(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    const items = this.#items;
    this.#items = [];
    if (items.length > 0) {
      this.#send(items);
    }
  }
}
