import { createParser } from "eventsource-parser";

/** A server-sent event with its optional id. */
export interface SseEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Incremental parser of server-sent events; a character may be split between two pieces. */
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

  /** Parses the next bytes; `onEvent` is called for each event that they complete. */
  push(bytes: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
  }
}
