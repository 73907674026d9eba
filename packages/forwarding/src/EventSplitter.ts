const LF = 10;
const CR = 13;
const MAX_EVENT_BYTES = 1_048_576;

/** A whole event of a stream, as the bytes that arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the event's `id` field. */
  readonly id: string | undefined;
}

const ID_PATTERN = /(?:^|\n)id: ?([^\r\n]*)/;

/** Cuts a stream's bytes into whole events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that isn't whole yet. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Adds bytes and returns the events that became whole; throws on an oversized event. */
  push(chunk: Buffer): StreamEvent[] {
    const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (let at = 0; at < data.length; at++) {
      if (data[at] !== LF) {
        continue;
      }
      const isBlank = at === lineStart || (at === lineStart + 1 && data[lineStart] === CR);
      if (isBlank) {
        const bytes = data.subarray(start, at + 1);
        events.push({ bytes, id: ID_PATTERN.exec(bytes.toString("latin1"))?.[1] });
        start = at + 1;
      }
      lineStart = at + 1;
    }
    this.#rest = Buffer.from(data.subarray(start));
    if (this.#rest.length > MAX_EVENT_BYTES) {
      throw new Error(`event exceeds ${String(MAX_EVENT_BYTES)} bytes`);
    }
    return events;
  }
}
