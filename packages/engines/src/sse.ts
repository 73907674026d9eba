import { createParser } from "eventsource-parser";

/** One server-sent event. */
export interface SseEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Reads server-sent events from pieces of a byte stream. */
export class SseReader {
  readonly #decoder = new TextDecoder();
  readonly #parser: ReturnType<typeof createParser>;

  constructor(onEvent: (event: SseEvent) => void) {
    this.#parser = createParser({
      onEvent: ({ id, data }) => {
        onEvent({ id, data });
      },
    });
  }

  push(bytes: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
  }
}
