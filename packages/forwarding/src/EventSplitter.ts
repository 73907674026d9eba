const LF = 10;
const CR = 13;
const COLON = 58;
const MAX_EVENT_BYTES = 1_048_576;

/** A complete block of a stream, as the bytes that arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** False for comments and empty lines, which carry nothing of the answer. */
  readonly isEvent: boolean;
  /** Value of the event's `id` field. */
  readonly id: string | undefined;
}

const ID_PATTERN = /(?:^|\n)id: ?([^\r\n]*)/;

const newEvent = (bytes: Buffer): StreamEvent => ({
  bytes,
  isEvent: true,
  id: ID_PATTERN.exec(bytes.toString("latin1"))?.[1],
});

/** Splits the bytes of a server-sent event stream into complete events; looks at each byte once. */
export class EventSplitter {
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  /** Length and first byte of the line that has begun. */
  #lineLength = 0;
  #lineStart = 0;
  /** The block that has begun has a line that is no comment. */
  #hasField = false;

  /** Number of bytes of the last, incomplete event. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /**
   * Adds bytes and returns the events that they complete, with the comments between them as one
   * block each; throws on an oversized event.
   */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let commentsEnd = 0;
    const endComments = (): void => {
      if (commentsEnd > start) {
        const bytes = this.#take(chunk.subarray(start, commentsEnd));
        events.push({ bytes, isEvent: false, id: undefined });
        start = commentsEnd;
      }
    };
    for (let at = 0; at < chunk.length; at++) {
      if (!this.#endsBlock(chunk[at] ?? 0)) {
        continue;
      }
      if (this.#hasField) {
        endComments();
        events.push(newEvent(this.#take(chunk.subarray(start, at + 1))));
        start = at + 1;
        this.#hasField = false;
      } else {
        commentsEnd = at + 1;
      }
    }
    endComments();
    this.#keep(chunk.subarray(start));
    return events;
  }

  /** Reads one byte; true when it is the end of an empty line. */
  #endsBlock(byte: number): boolean {
    if (byte !== LF) {
      this.#lineStart = this.#lineLength === 0 ? byte : this.#lineStart;
      this.#lineLength += 1;
      return false;
    }
    const isEmpty = this.#lineLength === 0 || (this.#lineLength === 1 && this.#lineStart === CR);
    this.#lineLength = 0;
    this.#hasField ||= !isEmpty && this.#lineStart !== COLON;
    return isEmpty;
  }

  /** Returns the kept bytes with those that complete them. */
  #take(rest: Buffer): Buffer {
    if (this.#pending.length === 0) {
      return rest;
    }
    const bytes = Buffer.concat([...this.#pending, rest]);
    this.#pending = [];
    this.#pendingBytes = 0;
    return bytes;
  }

  #keep(rest: Buffer): void {
    if (rest.length === 0) {
      return;
    }
    this.#pending.push(Buffer.from(rest));
    this.#pendingBytes += rest.length;
    if (this.#pendingBytes > MAX_EVENT_BYTES) {
      throw new Error(`event exceeds ${String(MAX_EVENT_BYTES)} bytes`);
    }
  }
}
