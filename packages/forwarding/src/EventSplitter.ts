const LF = 10;
const CR = 13;
const MAX_EVENT_BYTES = 1_048_576;

/** A complete event of a stream, as the bytes that arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the event's `id` field. */
  readonly id: string | undefined;
}

const ID_PATTERN = /(?:^|\n)id: ?([^\r\n]*)/;

/** Splits the bytes of a server-sent event stream into complete events. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Number of bytes of the last, incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds bytes and returns the events that they complete; throws on an oversized event. */
  push(chunk: Buffer): StreamEvent[] {
    const data = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
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
    this.#pending = Buffer.from(data.subarray(start));
    if (this.#pending.length > MAX_EVENT_BYTES) {
      throw new Error(`event exceeds ${String(MAX_EVENT_BYTES)} bytes`);
    }
    return events;
  }
}
