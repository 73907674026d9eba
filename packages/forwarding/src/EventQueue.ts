/** Events of one request in the order of their arrival, for one reader. */
export class EventQueue<T> {
  readonly #events: T[] = [];
  #wake: () => void = () => undefined;

  push(event: T): void {
    this.#events.push(event);
    this.#wake();
  }

  /** Resolves with the next event. */
  async next(): Promise<T> {
    for (;;) {
      const event = this.#events.shift();
      if (event !== undefined) {
        return event;
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }
}
