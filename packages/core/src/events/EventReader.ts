import { ReadBudget } from "../reading/ReadBudget.js";
import { EventFault, type EventCheck, type EventLine } from "./EventFormat.js";

const LF = 10;
const CR = 13;
const COLON = 58;
const SPACE = 32;
const MAX_EVENT_BYTES = 1_048_576;
const MAX_EVENT_LINES = 4_096;
const MIN_KEPT_BYTES = 256;
/** Bytes of an incomplete line that are looked at. */
const MAX_START_BYTES = 64;
/** What a line costs beside a chunk. */
const LINE_WEIGHT = 0.125;

/** A complete block of a stream, as the bytes that arrived. */
export interface StreamBlock {
  readonly bytes: Buffer;
  /** False for comments, which carry nothing of the answer. */
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
  /** Valid blocks, with the comments between two events as one each. Empty lines are part of the block behind them. */
  readonly blocks: readonly StreamBlock[];
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
  readonly #budget: ReadBudget;
  /** Begins with the kept bytes of the block that has begun. */
  #kept: Buffer = Buffer.alloc(0);
  #pendingBytes = 0;
  /** Of these, bytes of the last, incomplete line. */
  #lineBytes = 0;
  /** Complete lines of the block with a field. */
  #fields: EventLine[] = [];
  #hasComment = false;
  /** Bytes of the body before it. */
  #offset = 0;
  #invalid: InvalidBytes | undefined;

  constructor(check: EventCheck, budget = new ReadBudget()) {
    this.#check = check;
    this.#budget = budget;
  }

  /** Number of bytes that belong to a block which hasn't ended. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** True when an event or a comment has begun, and not only empty lines. */
  get isInBlock(): boolean {
    return this.#hasLine || this.#lineBytes > 0;
  }

  /** Adds bytes and returns the blocks that they complete. */
  push(chunk: Buffer): ReadEvents {
    const blocks: StreamBlock[] = [];
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
      const rest = chunk.subarray(lineStart, end);
      const isEmpty = this.#endLine(rest);
      lineStart = end + 1;
      if (!this.#budget.spend(rest.length, LINE_WEIGHT)) {
        this.#setInvalid(EventFault.Lines);
      }
      if (this.#invalid) {
        break;
      }
      if (!isEmpty) {
        continue;
      }
      if (this.#fields.length > 0) {
        endComments();
        const bytes = this.#take(chunk.subarray(start, lineStart));
        start = lineStart;
        this.#endEvent(blocks, bytes);
        if (this.#invalid) {
          break;
        }
      } else if (this.#hasComment) {
        commentsEnd = lineStart;
      }
      this.#fields = [];
      this.#hasComment = false;
    }
    endComments();
    if (!this.#invalid) {
      this.#keep(chunk.subarray(start), chunk.length - lineStart);
    }
    return { blocks, invalid: this.#invalid };
  }

  /** Empty lines behind the last block, when the stream ends there. */
  get emptyLines(): Buffer {
    return this.#kept.subarray(0, this.isInBlock ? 0 : this.#pendingBytes);
  }

  /** Finds why a stream that is complete by its framing can't end here. */
  findEarlyEnd(): InvalidBytes | undefined {
    const fault = this.#check.findEarlyEnd();
    return fault === undefined ? undefined : { fault, offset: this.#offset };
  }

  get #hasLine(): boolean {
    return this.#hasComment || this.#fields.length > 0;
  }

  /** Adds the rest of a line; true when the line is empty. */
  #endLine(rest: Buffer): boolean {
    const whole = this.#lineBytes > 0 ? Buffer.concat([this.#keptLine, rest]) : rest;
    this.#lineBytes = 0;
    const bytes = whole.at(-1) === CR ? whole.subarray(0, -1) : whole;
    if (bytes.length === 0) {
      return true;
    }
    const line = parseLine(bytes, !this.#hasLine);
    this.#setInvalid(this.#check.findLineFault(bytes, line));
    if (line.name === "") {
      this.#hasComment = true;
    } else {
      this.#fields.push(line);
    }
    if (this.#fields.length > MAX_EVENT_LINES) {
      this.#setInvalid(EventFault.Size);
    }
    return false;
  }

  #endEvent(blocks: StreamBlock[], bytes: Buffer): void {
    const fault = this.#check.addEvent(this.#fields);
    if (fault === undefined) {
      const id = this.#fields.find(({ name }) => name === "id")?.value;
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
    const kept = this.#kept.subarray(0, this.#pendingBytes);
    const bytes = kept.length === 0 ? rest : Buffer.concat([kept, rest]);
    this.#kept = Buffer.alloc(0);
    this.#pendingBytes = 0;
    this.#offset += bytes.length;
    return bytes;
  }

  get #keptLine(): Buffer {
    return this.#kept.subarray(this.#pendingBytes - this.#lineBytes, this.#pendingBytes);
  }

  /** Keeps an incomplete block, of which the last `lineBytes` are of an incomplete line, and checks the beginning of that line. */
  #keep(rest: Buffer, lineBytes: number): void {
    if (rest.length === 0) {
      return;
    }
    const size = this.#pendingBytes + rest.length;
    if (size > this.#kept.length) {
      const larger = Buffer.alloc(Math.max(MIN_KEPT_BYTES, 2 * size));
      this.#kept.copy(larger, 0, 0, this.#pendingBytes);
      this.#kept = larger;
    }
    rest.copy(this.#kept, this.#pendingBytes);
    this.#pendingBytes = size;
    const isLookedAt = lineBytes > 0 && this.#lineBytes < MAX_START_BYTES;
    this.#lineBytes += lineBytes;
    const start = this.#keptLine.subarray(0, MAX_START_BYTES);
    if (isLookedAt && !this.#check.mayBegin(start, !this.#hasLine)) {
      this.#setInvalid(EventFault.Field);
    }
    if (size > MAX_EVENT_BYTES) {
      this.#setInvalid(EventFault.Size);
    }
  }
}
