import { isUtf8 } from "node:buffer";

/** What makes bytes no event of a stream. */
export const EventFault = {
  /** Bytes that are no UTF-8, or control bytes. */
  Bytes: "bytes",
  /** A field that no event has, has twice or has elsewhere, or a value that it can't have. */
  Field: "field",
  /** It has no data. */
  NoData: "no_data",
  /** It has no id, or one that isn't a position in the answer. */
  Id: "id",
  /** It isn't the next event of the answer. */
  Order: "order",
  /** It is longer than any event. */
  Size: "size",
  /** The stream ended without an event. */
  Empty: "empty",
  /** It comes in more short lines than any stream has. */
  Lines: "lines",
  /** The stream is longer than its request allows. */
  Length: "length",
} as const;
export type EventFault = (typeof EventFault)[keyof typeof EventFault];

/** A line of an event, without its end. */
export interface EventLine {
  /** Empty for a comment. */
  readonly name: string;
  readonly value: string;
  /** It is the event's first line. */
  readonly isFirst: boolean;
}

/** Checks the events of one answer, in their order. */
export interface EventCheck {
  /** True when a line that begins with `start` may become valid. */
  mayBegin(start: Buffer, isFirst: boolean): boolean;
  /** Finds what makes a line no part of an event. */
  findLineFault(bytes: Buffer, line: EventLine): EventFault | undefined;
  /** Finds what makes valid fields no event that may follow here, and goes on behind the event if nothing does. */
  addEvent(fields: readonly EventLine[]): EventFault | undefined;
  /** Finds why a stream that is complete by its framing can't end here. */
  findEarlyEnd(): EventFault | undefined;
}

/** What a stream of one kind may consist of. */
export interface EventFormat {
  /**
   * Begins the check of an answer whose caller has the events up to `lastEventId`; undefined for none. Behind an id
   * that can't be read, the answer may begin anywhere.
   */
  newCheck(lastEventId: string | undefined): EventCheck;
}

const ANY_CHECK: EventCheck = {
  mayBegin: () => true,
  findLineFault: () => undefined,
  addEvent: () => undefined,
  findEarlyEnd: () => undefined,
};

/** Streams of which nothing is known but their media type, `text/event-stream`. */
export class AnyEvents implements EventFormat {
  newCheck(): EventCheck {
    return ANY_CHECK;
  }
}

/** Fields of `text/event-stream` that an event may have, and whether it may have them more than once. */
const FIELDS: ReadonlyMap<string, { readonly isRepeatable: boolean }> = new Map([
  ["data", { isRepeatable: true }],
  ["id", { isRepeatable: false }],
  ["event", { isRepeatable: false }],
  ["retry", { isRepeatable: false }],
]);
/** All control bytes but the tab. */
const CONTROL = /[\u0000-\u0008\u000a-\u001f\u007f]/;
const POSITION = /^[1-9]\d{0,14}$/;
const COLON = 58;

/** Streams whose events have their positions in the answer as ids, from 1 without a gap. */
export class PositionedEvents implements EventFormat {
  readonly #firstFields: ReadonlyMap<string, RegExp>;

  /** `firstFields` are the values of fields that may also stand in the first line of an event. */
  constructor(firstFields: ReadonlyMap<string, RegExp> = new Map()) {
    this.#firstFields = firstFields;
  }

  newCheck(lastEventId: string | undefined): EventCheck {
    return new PositionCheck(this.#firstFields, lastEventId);
  }
}

const parsePosition = (id: string | undefined): number | undefined =>
  id === undefined || id === "0" ? 0 : POSITION.test(id) ? Number(id) : undefined;

class PositionCheck implements EventCheck {
  readonly #firstFields: ReadonlyMap<string, RegExp>;
  /** Position of the last event; undefined when the caller named none that can be read. */
  #position: number | undefined;

  constructor(firstFields: ReadonlyMap<string, RegExp>, lastEventId: string | undefined) {
    this.#firstFields = firstFields;
    this.#position = parsePosition(lastEventId);
  }

  mayBegin(start: Buffer, isFirst: boolean): boolean {
    const colonAt = start.indexOf(COLON);
    if (colonAt >= 0) {
      return colonAt === 0 || this.#hasField(start.toString("latin1", 0, colonAt), isFirst);
    }
    const text = start.toString("latin1").replace(/\r$/, "");
    return [...FIELDS.keys(), ...(isFirst ? this.#firstFields.keys() : [])].some((name) =>
      name.startsWith(text),
    );
  }

  findLineFault(bytes: Buffer, { name, value, isFirst }: EventLine): EventFault | undefined {
    if (name !== "" && !FIELDS.has(name) && !this.#isFirstField(name, value, isFirst)) {
      return EventFault.Field;
    }
    return isUtf8(bytes) && !CONTROL.test(value) ? undefined : EventFault.Bytes;
  }

  addEvent(fields: readonly EventLine[]): EventFault | undefined {
    const isRepeated = ({ name }: EventLine, at: number): boolean =>
      FIELDS.get(name)?.isRepeatable !== true && fields.findIndex((one) => one.name === name) < at;
    if (fields.some(isRepeated)) {
      return EventFault.Field;
    }
    const position = parsePosition(fields.find(({ name }) => name === "id")?.value ?? "");
    if (position === undefined || position === 0) {
      return EventFault.Id;
    }
    if (this.#position !== undefined && position !== this.#position + 1) {
      return EventFault.Order;
    }
    if (!fields.some(({ name }) => name === "data")) {
      return EventFault.NoData;
    }
    this.#position = position;
    return undefined;
  }

  findEarlyEnd(): EventFault | undefined {
    return this.#position === 0 ? EventFault.Empty : undefined;
  }

  #hasField(name: string, isFirst: boolean): boolean {
    return FIELDS.has(name) || (isFirst && this.#firstFields.has(name));
  }

  #isFirstField(name: string, value: string, isFirst: boolean): boolean {
    return isFirst && (this.#firstFields.get(name)?.test(value) ?? false);
  }
}
