import { EventEmitter } from "node:events";

import { fromEvent, type Stream } from "most";

const EVENT = "value";

/** Hot `most` stream: observers get only values published after they subscribe. */
export class Publisher<T> {
  readonly #emitter = new EventEmitter();
  readonly stream: Stream<T>;

  constructor() {
    this.#emitter.setMaxListeners(0);
    this.stream = fromEvent<T>(EVENT, this.#emitter);
  }

  publish(value: T): void {
    this.#emitter.emit(EVENT, value);
  }

  /** Calls `fn` with every value until the returned function is called. */
  subscribe(fn: (value: T) => void): () => void {
    this.#emitter.on(EVENT, fn);
    return () => {
      this.#emitter.off(EVENT, fn);
    };
  }
}
