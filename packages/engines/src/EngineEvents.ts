import {
  EventFault,
  PositionedEvents,
  type AnswerChunk,
  type EventCheck,
  type EventFormat,
  type EventLine,
} from "@lycheepulley/core";

const RETRY = "retry";
const DIGITS = /^\d+$/;
const NUMBERED_ID = /^(.+):(0|[1-9]\d{0,14})$/s;

/** Data of the event behind the last chunk of an answer. */
export const DONE_MARKER = "[DONE]";

/** What a stream of chunks of an answer may consist of, and what its ids say. */
export interface EngineFormat extends EventFormat {
  /** Reads the attempt and the position that a valid id names, if it does. */
  parseId(id: string): Pick<AnswerChunk, "attemptId" | "seq"> | undefined;
}

/** Streams in the OpenAI style, whose ids say nothing. */
export class PlainEvents implements EngineFormat {
  parseId(): undefined {
    return undefined;
  }

  newCheck(): EventCheck {
    return new FieldCheck();
  }
}

/** Streams in the OpenAI style in which all chunks have ids `<attempt>:<position>`, in any order, or none has. */
export class NumberedEvents implements EngineFormat {
  parseId(id: string): Pick<AnswerChunk, "attemptId" | "seq"> | undefined {
    const [, attemptId, seq] = NUMBERED_ID.exec(id) ?? [];
    return attemptId === undefined ? undefined : { attemptId, seq: Number(seq) };
  }

  newCheck(): EventCheck {
    return new NumberCheck();
  }
}

const isRetry = (lines: readonly EventLine[]): boolean =>
  lines.every(({ name }) => name === "" || name === RETRY);

class FieldCheck implements EventCheck {
  /** Knows the fields of the media type. */
  readonly #fields = new PositionedEvents().newCheck(undefined);
  #position = 0;

  mayBegin(start: Buffer, isFirst: boolean): boolean {
    return this.#fields.mayBegin(start, isFirst);
  }

  findLineFault(bytes: Buffer, line: EventLine): EventFault | undefined {
    const isOddRetry = line.name === RETRY && !DIGITS.test(line.value);
    return isOddRetry ? EventFault.Field : this.#fields.findLineFault(bytes, line);
  }

  addEvent(lines: readonly EventLine[]): EventFault | undefined {
    if (isRetry(lines)) {
      return undefined;
    }
    this.#position += 1;
    const value = String(this.#position);
    const numbered = lines.map((line) => (line.name === "id" ? { ...line, value } : line));
    const hasId = numbered.some(({ name }) => name === "id");
    return this.#fields.addEvent(
      hasId ? numbered : [...numbered, { name: "id", value, isFirst: false }],
    );
  }

  /** The stream's end marker tells whether it may end. */
  findEarlyEnd(): undefined {
    return undefined;
  }
}

class NumberCheck extends FieldCheck {
  /** Known from the first chunk on. */
  #hasIds: boolean | undefined;

  override addEvent(lines: readonly EventLine[]): EventFault | undefined {
    const fault = super.addEvent(lines);
    const isDone = lines.some(({ name, value }) => name === "data" && value === DONE_MARKER);
    if (fault !== undefined || isDone || isRetry(lines)) {
      return fault;
    }
    const id = lines.find(({ name }) => name === "id")?.value;
    this.#hasIds ??= id !== undefined;
    const isValid = this.#hasIds ? id !== undefined && NUMBERED_ID.test(id) : id === undefined;
    return isValid ? undefined : EventFault.Id;
  }
}
