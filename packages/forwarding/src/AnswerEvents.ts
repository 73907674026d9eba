import {
  AnyEvents,
  EventReader,
  Framing,
  type AnswerFault,
  type EventFormat,
  type InvalidBytes,
  type ReadEvents,
} from "@lycheepulley/core";
import type { AnswerTally } from "@lycheepulley/telemetry";

import {
  getEventsBefore,
  type AnswerObserver,
  type AnswerProgress,
  type InvalidAnswer,
} from "./answerProgress.js";
import type { Route } from "./fleetConfig.js";
import type { AnswerHead } from "./types.js";

/** A call may answer with any events. */
const ANY_EVENTS = new AnyEvents();

/** Reads the events of an answer, and reports what is no part of one. */
export class AnswerEvents {
  readonly #observer: AnswerObserver;
  readonly #reader: EventReader;
  readonly #tally: AnswerTally | undefined;
  /** Bytes of the body, whether they are events or not. */
  #bodyBytes = 0;
  #head: AnswerHead | undefined;

  constructor(options: {
    /** Format of the streams of routes that have them. */
    format: EventFormat;
    progress: AnswerProgress;
    route: Route;
    observer: AnswerObserver;
    tally?: AnswerTally | undefined;
  }) {
    const { progress, route, observer } = options;
    this.#observer = observer;
    this.#tally = options.tally;
    const format = route.isStream ? options.format : ANY_EVENTS;
    this.#reader = new EventReader(format.newCheck(getEventsBefore(progress, route)));
  }

  /** True when an event has begun and hasn't ended. */
  get isInEvent(): boolean {
    return this.#reader.isInBlock;
  }

  /** Empty lines behind the last event, when the stream ends there. */
  get emptyLines(): Buffer {
    return this.#reader.emptyLines;
  }

  setHead(head: AnswerHead): void {
    this.#head = head;
  }

  /** Counts bytes of the body. */
  count({ length }: Buffer): void {
    this.#bodyBytes += length;
    this.#tally?.add(length);
  }

  /** Reads bytes of the body; must not be called once they are invalid. */
  push(chunk: Buffer): ReadEvents {
    const read = this.#reader.push(chunk);
    this.#tally?.addParts(read.blocks.length);
    this.#reportInvalid(read.invalid);
    return read;
  }

  /** Ends a stream that is complete by its framing; undefined when it may end here. */
  end(): InvalidBytes | undefined {
    const isBodiless = this.#head?.framing === Framing.NoBody;
    const invalid = isBodiless ? undefined : this.#reader.findEarlyEnd();
    this.#reportInvalid(invalid);
    return invalid;
  }

  /** Reports an answer that its parser refused; undefined for one that just broke off. */
  refuse(fault: AnswerFault | undefined): void {
    this.#reportInvalid(fault && { fault, offset: this.#bodyBytes });
  }

  #reportInvalid(invalid: Pick<InvalidAnswer, "fault" | "offset"> | undefined): void {
    if (invalid) {
      this.#observer.onInvalid({ ...invalid, framing: this.#head?.framing });
    }
  }
}
