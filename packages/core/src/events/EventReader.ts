import { EventFault, type EventCheck, type EventLine } from "./EventFormat.js";

const LF = 10;
const CR = 13;
const COLON = 58;
const SPACE = 32;
const MAX_EVENT_BYTES = 1_048_576;
/** Bytes of an incomplete line that are looked at. */
const MAX_START_BYTES = 64;

/** A complete block of a stream, as the bytes that arrived. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** False for comments and empty lines, which carry nothing of the answer. */
  readonly isEvent: boolean;
  /** Value of the event's `id` field. */
  readonly id: string | undefined;
}

/** Bytes that aren't what a stream of their kind may go on with. */
export interface InvalidBytes {
  readonly fault: EventFault;
  /** Where the block begins that they belong to, in bytes of the body. */
  readonly offset: number;
}

/** What was read of a stream. */
export interface ReadEvents {
  /** Valid blocks, with the comments between two events as one each. */
  readonly blocks: readonly StreamEvent[];
  /** Set once the stream is invalid, and then with no further blocks. */
  readonly invalid: InvalidBytes | undefined;
}

const COMMENTS = { isEvent: false, id: undefined } as const;

const parseLine = (bytes: Buffer, isFirst: boolean): EventLine => {
  const colonAt = bytes.indexOf(COLON);
  if (colonAt < 0) {
    return { name: bytes.toString("latin1"), value: "", isFirst };
  }
  const valueAt = bytes[colonAt + 1] === SPACE ? colonAt + 2 : colonAt + 1;
  const name = bytes.toString("latin1", 0, colonAt);
  return { name, value: bytes.toString("latin1", valueAt), isFirst };
};

/** Reads a server-sent event stream, and checks its events; looks at each byte once. */
export class EventReader {
  readonly #check: EventCheck;
  /** Bytes of the block that has begun. */
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  /** Bytes of its last, incomplete line. */
  #line: Buffer[] = [];
  #lineBytes = 0;
  /** Its complete lines that aren't empty. */
  #lines: EventLine[] = [];
  /** Bytes of the body before it. */
  #offset = 0;
  #invalid: InvalidBytes | undefined;

  constructor(check: EventCheck) {
    this.#check = check;
  }

  /** Number of bytes of the last, incomplete event. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Adds bytes and returns the blocks that they complete. */
  push(chunk: Buffer): ReadEvents {
    const blocks: StreamEvent[] = [];
    let start = 0;
    let commentsEnd = 0;
    const endComments = (): void => {
      if (commentsEnd > start) {
        blocks.push({ bytes: this.#take(chunk.subarray(start, commentsEnd)), ...COMMENTS });
        start = commentsEnd;
      }
    };
    let lineStart = 0;
    for (let end = chunk.indexOf(LF); end >= 0; end = chunk.indexOf(LF, lineStart)) {
      const isEmpty = this.#endLine(chunk.subarray(lineStart, end));
      lineStart = end + 1;
      if (this.#invalid) {
        break;
      }
      if (!isEmpty) {
        continue;
      }
      if (this.#hasField) {
        endComments();
        const bytes = this.#take(chunk.subarray(start, lineStart));
        start = lineStart;
        this.#endEvent(blocks, bytes);
        if (this.#invalid) {
          break;
        }
      } else {
        commentsEnd = lineStart;
      }
      this.#lines = [];
    }
    endComments();
    if (!this.#invalid) {
      this.#keep(chunk.subarray(start), chunk.length - lineStart);
    }
    return { blocks, invalid: this.#invalid };
  }

  /** Ends a stream that is complete by its framing. */
  findEndFault(): InvalidBytes | undefined {
    const fault = this.#check.findEndFault();
    return fault === undefined ? undefined : { fault, offset: this.#offset };
  }

  get #hasField(): boolean {
    return this.#lines.some(({ name }) => name !== "");
  }

  /** Adds the rest of a line; true when the line is empty. */
  #endLine(rest: Buffer): boolean {
    const whole = this.#lineBytes > 0 ? Buffer.concat([...this.#line, rest]) : rest;
    this.#line = [];
    this.#lineBytes = 0;
    const bytes = whole.at(-1) === CR ? whole.subarray(0, -1) : whole;
    if (bytes.length === 0) {
      return true;
    }
    const line = parseLine(bytes, this.#lines.length === 0);
    this.#lines.push(line);
    this.#setInvalid(this.#check.findLineFault(bytes, line));
    return false;
  }

  #endEvent(blocks: StreamEvent[], bytes: Buffer): void {
    const fault = this.#check.addEvent(this.#lines);
    if (fault === undefined) {
      const id = this.#lines.find(({ name }) => name === "id")?.value;
      blocks.push({ bytes, isEvent: true, id });
    } else {
      this.#offset -= bytes.length;
      this.#setInvalid(fault);
    }
  }

  #setInvalid(fault: EventFault | undefined): void {
    if (fault !== undefined) {
      this.#invalid = { fault, offset: this.#offset };
    }
  }

  /** Returns the kept bytes with those that complete them. */
  #take(rest: Buffer): Buffer {
    const bytes = this.#pending.length === 0 ? rest : Buffer.concat([...this.#pending, rest]);
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#offset += bytes.length;
    return bytes;
  }

  /** Keeps an incomplete block, of which the last `lineBytes` are of an incomplete line, and checks the beginning of that line. */
  #keep(rest: Buffer, lineBytes: number): void {
    if (rest.length === 0) {
      return;
    }
    const kept = Buffer.from(rest);
    this.#pending.push(kept);
    this.#pendingBytes += kept.length;
    if (lineBytes > 0) {
      this.#keepLine(kept.subarray(kept.length - lineBytes));
    }
    if (this.#pendingBytes > MAX_EVENT_BYTES) {
      this.#setInvalid(EventFault.Size);
    }
  }

  #keepLine(line: Buffer): void {
    this.#line.push(line);
    if (this.#lineBytes < MAX_START_BYTES) {
      const start = Buffer.concat(this.#line).subarray(0, MAX_START_BYTES);
      const mayBegin = this.#check.mayBegin(start, this.#lines.length === 0);
      this.#setInvalid(mayBegin ? undefined : EventFault.Field);
    }
    this.#lineBytes += line.length;
  }
}
