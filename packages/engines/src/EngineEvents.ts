import {
  EventFault,
  PositionedEvents,
  type EventCheck,
  type EventFormat,
  type EventLine,
} from "@lycheepulley/core";

const RETRY = "retry";
const DIGITS = /^\d+$/;

/** Streams of chunks of an answer, in the OpenAI style: events of the media type's fields, without positions. */
export class EngineEvents implements EventFormat {
  newCheck(): EventCheck {
    return new EngineCheck();
  }
}

class EngineCheck implements EventCheck {
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
    if (lines.every(({ name }) => name === "" || name === RETRY)) {
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
  findEndFault(): undefined {
    return undefined;
  }
}
