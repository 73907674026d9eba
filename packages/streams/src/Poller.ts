import { sleep, type Clock } from "@lycheepulley/core";
import type { Stream } from "most";

import { Publisher } from "./Publisher.js";

/** Result of one poll: the fetched value, or the error. */
export type PollResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: unknown };

/** Polls a source at an interval and publishes the results as a stream. */
export class Poller<T> {
  readonly #clock: Clock;
  readonly #fetch: () => Promise<T>;
  readonly #intervalMs: () => number;
  readonly #publisher = new Publisher<PollResult<T>>();
  readonly #abort = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: { clock: Clock; fetch: () => Promise<T>; intervalMs: () => number }) {
    this.#clock = options.clock;
    this.#fetch = options.fetch;
    this.#intervalMs = options.intervalMs;
  }

  get results(): Stream<PollResult<T>> {
    return this.#publisher.stream;
  }

  /** Calls `fn` with every result. */
  subscribe(fn: (result: PollResult<T>) => void): () => void {
    return this.#publisher.subscribe(fn);
  }

  start(): void {
    this.#running ??= this.#run();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#running;
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        const value = await this.#fetch();
        this.#publisher.publish({ ok: true, value });
      } catch (err) {
        this.#publisher.publish({ ok: false, err });
      }
      await sleep(this.#clock, this.#intervalMs(), this.#abort.signal);
    }
  }
}
