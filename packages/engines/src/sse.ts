import { EventReader, type EventCheck, type InvalidBytes } from "@lycheepulley/core";
import { createParser } from "eventsource-parser";

/** A server-sent event with its optional id. */
export interface SseEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Incremental parser of server-sent events that a check takes for valid. */
export class SseReader {
  readonly #reader: EventReader;
  readonly #parser: ReturnType<typeof createParser>;

  constructor(check: EventCheck, onEvent: (event: SseEvent) => void) {
    this.#reader = new EventReader(check);
    this.#parser = createParser({
      onEvent: ({ id, data }) => {
        onEvent({ id, data });
      },
    });
  }

  /** Parses the next bytes and calls `onEvent` for each event that they complete; returns what isn't valid behind those. */
  push(bytes: Buffer): InvalidBytes | undefined {
    const { blocks, invalid } = this.#reader.push(bytes);
    blocks.forEach((block) => {
      this.#parser.feed(block.bytes.toString());
    });
    return invalid;
  }
}
