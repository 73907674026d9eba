import {
  AnswerEnd,
  FloodError,
  getMessage,
  AnswerFault,
  type Clock,
  type EndReport,
  type EventFault,
  type ReadEvents,
  type StreamBlock,
} from "@lycheepulley/core";

import { AnswerBuffer, MAX_BUFFERED_BYTES } from "./AnswerBuffer.js";
import { AnswerEvents } from "./AnswerEvents.js";
import {
  CUT_EVENT,
  deliverAnswer,
  findEndFault,
  isFlood,
  newErrorOutcome,
  newInvalidOutcome,
} from "./answerEnd.js";
import { findEndless, FIRST_FAILURE_STATUS, isStreamAnswer, refuseHead } from "./answerType.js";
import type { AnswerObserver, AnswerProgress } from "./answerProgress.js";
import { getFailure, getOversizedFailure, SendResult, type SendOutcome } from "./outcomes.js";
import type { SendOptions } from "./sendOptions.js";
import { StallWatch, type StallTimeout } from "./StallWatch.js";
import {
  type SendState,
  type AnswerFacts,
  type AnswerHead,
  type AnswerWriter,
  type CallObserver,
  type Dialect,
  type ForwardRequest,
  type UpstreamCall,
} from "./types.js";

/** One send of a request to an upstream, until its outcome is known. */
export class Send implements CallObserver {
  readonly #clock: Clock;
  readonly #dialect: Dialect;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #progress: AnswerProgress;
  readonly #observer: AnswerObserver;
  readonly #accepts: () => Promise<boolean>;
  readonly #stallWatch: StallWatch;
  readonly #buffer: AnswerBuffer;
  readonly #events: AnswerEvents;
  /** Monotonic time at which the last bytes of the answer arrived; `-Infinity` before the first. */
  heardMs = -Infinity;
  /** An event of the stream arrived. */
  #hasEvents = false;
  #head: AnswerHead | undefined;
  #facts: AnswerFacts | undefined;
  #isPassthrough = false;
  #call: UpstreamCall | undefined;
  /** The caller has to take what it has before more of the answer is read. */
  #isPaused = false;
  #resolveOutcome: (outcome: SendOutcome) => void = () => undefined;
  #isSettled = false;
  #end: EndReport | undefined;

  /** Resolves once, when the call has ended. */
  readonly outcome: Promise<SendOutcome>;

  constructor(options: SendOptions) {
    this.#clock = options.clock;
    this.#dialect = options.dialect;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#progress = options.progress;
    this.#observer = options.observer;
    this.#accepts = options.accepts;
    this.#buffer = new AnswerBuffer(options.writer);
    this.#events = new AnswerEvents({ ...options, format: options.dialect.events });
    this.#stallWatch = new StallWatch(options);
    this.outcome = new Promise((resolve) => {
      this.#resolveOutcome = resolve;
    });
  }

  /** Sets the call whose events this object observes. */
  start(call: UpstreamCall): void {
    this.#call = call;
    if (this.#isSettled) {
      call.abort();
      return;
    }
    this.#writer.onSend?.(call);
    this.#watchForStall("firstMs");
  }

  /** Ends the send early. */
  stop(outcome: SendOutcome): void {
    this.#finish(outcome);
  }

  onHead(head: AnswerHead): void {
    this.heardMs = this.#clock.now();
    this.#guard(() => {
      this.#handleHead(head);
    });
  }

  onData(chunk: Buffer, chunks = 1): void {
    this.heardMs = this.#clock.now();
    this.#events.count(chunk, chunks);
    this.#guard(() => {
      this.#handleData(chunk);
    });
  }

  onEnd(report: EndReport): void {
    this.#end = report;
    this.#guard(() => {
      this.#handleEnd(report);
    });
  }

  onError(state: SendState, err: Error, fault?: AnswerFault): void {
    this.#events.refuse(fault, err instanceof FloodError ? err.cost : undefined);
    this.#noteFlood(fault);
    this.#finish(newErrorOutcome({ state, err, fault, isSaid: this.#isSaid }));
  }

  /** Ends the send on an error of this process, which its caller would otherwise await in vain. */
  #guard(handle: () => void): void {
    try {
      handle();
    } catch (err) {
      this.#finish({ result: SendResult.Internal, reason: `internal error: ${getMessage(err)}` });
    }
  }

  #handleHead(head: AnswerHead): void {
    this.#head = head;
    this.#events.setHead(head);
    this.#facts = this.#dialect.readAnswer(this.#req, head);
    const refusal = refuseHead(this.#req, head, this.#facts);
    if (refusal) {
      this.#events.refuse(refusal.isInvalid ? AnswerFault.Head : undefined);
      this.#finish(refusal);
      return;
    }
    this.#observer.onHead(this.#facts, head.status);
  }

  #handleData(chunk: Buffer): void {
    if (this.#isSettled) {
      return;
    }
    if (this.#isEventStream) {
      this.#forwardEvents(this.#events.push(chunk));
    } else if (this.#isPassthrough) {
      this.#passThrough(chunk);
    } else {
      this.#collect(chunk);
    }
  }

  #passThrough(chunk: Buffer): void {
    const endless = findEndless(this.#facts, this.#events.bodyBytes);
    if (endless) {
      this.#events.refuse(AnswerFault.Length);
      this.#finish(endless);
    } else {
      this.#write(chunk);
    }
  }

  #handleEnd({ end }: EndReport): void {
    if (this.#isSettled || !this.#head || !this.#facts) {
      return;
    }
    this.#stallWatch.stop();
    if (end === AnswerEnd.Whole || this.#isSaid) {
      this.#endAnswer(this.#head, this.#facts);
    } else if (this.#events.isInEvent) {
      this.#finish(CUT_EVENT);
    } else {
      void findEndFault(end, this.#head, this.#accepts).then(this.#finish.bind(this));
    }
  }

  /** A statement that the request didn't run is whole with its head, unless the body goes to the caller. */
  get #isSaid(): boolean {
    return this.#facts?.isNotRun === true && !this.#isEventStream && !this.#isPassthrough;
  }

  #endAnswer(head: AnswerHead, facts: AnswerFacts): void {
    if (this.#isEventStream) {
      this.#endEventStream();
      return;
    }
    if (this.#isPassthrough) {
      this.#writer.end();
      this.#finish({ result: SendResult.Delivered, reason: "whole answer" });
      return;
    }
    this.#endBuffered(head, facts);
  }

  get #isEventStream(): boolean {
    return isStreamAnswer(this.#head, this.#facts);
  }

  /** Forwards valid events as they arrive, and nothing behind an invalid one. */
  #forwardEvents({ blocks, invalid }: ReadEvents): void {
    this.#forwardBlocks(blocks);
    if (invalid) {
      this.#noteFlood(invalid.fault);
      this.#finish(newInvalidOutcome(invalid));
    }
  }

  /** Events that went on before are of the flood, too: a part of one would be told as whole. */
  #noteFlood(fault: AnswerFault | EventFault | undefined): void {
    this.#progress.isFlooded ||= this.#hasEvents && isFlood(fault);
  }

  #forwardBlocks(blocks: readonly StreamBlock[]): void {
    const events = blocks.filter(({ isEvent }) => isEvent).length;
    if (events === 0) {
      this.#forwardComments(blocks);
      return;
    }
    this.#hasEvents = true;
    this.#observer.onProgress();
    this.#observer.onEvents(events);
    this.#sendHeadOnce();
    for (const { id } of blocks.filter(({ isEvent }) => isEvent)) {
      this.#progress.lastEventId = id ?? this.#progress.lastEventId;
      this.#progress.isLastUnnamed = !id;
    }
    this.#write(Buffer.concat([this.#buffer.take(), ...blocks.map(({ bytes }) => bytes)]));
    this.#watchForStall("gapMs");
  }

  /** Comments show that the upstream is alive, but not that the answer goes on. */
  #forwardComments(blocks: readonly StreamBlock[]): void {
    for (const { bytes } of blocks) {
      if (this.#hasEvents) {
        this.#write(bytes);
      } else {
        // Another send may go on with the answer until this one has an event.
        this.#buffer.add(bytes);
      }
    }
    if (this.#buffer.bytes > MAX_BUFFERED_BYTES) {
      this.#finish({ result: SendResult.Broken, reason: "comments without an event" });
    }
  }

  #endEventStream(): void {
    if (this.#events.isInEvent) {
      this.#finish(CUT_EVENT);
      return;
    }
    const invalid = this.#events.end();
    if (invalid) {
      this.#finish(newInvalidOutcome(invalid));
      return;
    }
    this.#observer.onProgress();
    this.#sendHeadOnce();
    this.#write(Buffer.concat([this.#buffer.take(), this.#events.emptyLines]));
    this.#writer.end();
    this.#finish({ result: SendResult.Delivered, reason: "whole stream" });
  }

  #endBuffered(head: AnswerHead, facts: AnswerFacts): void {
    const answer = { head, body: this.#buffer.take() };
    const failure = getFailure(answer, facts);
    if (failure) {
      this.#finish(failure);
    } else if (this.#progress.isHeadSent) {
      this.#finish({ result: SendResult.Broken, reason: "resumed stream without events" });
    } else {
      this.#observer.onProgress();
      deliverAnswer(answer, this.#writer, this.#dialect);
      this.#progress.isHeadSent = true;
      this.#finish({ result: SendResult.Delivered, reason: "whole answer" });
    }
  }

  /** Buffers the answer, and passes it through once it exceeds the limit or memory is short. */
  #collect(chunk: Buffer): void {
    const hasMemory = this.#buffer.add(chunk);
    this.#watchForStall("gapMs");
    if ((hasMemory && this.#buffer.bytes <= MAX_BUFFERED_BYTES) || !this.#head) {
      return;
    }
    if (this.#head.status >= FIRST_FAILURE_STATUS || this.#progress.isHeadSent) {
      this.#finish(getOversizedFailure(this.#head, this.#facts, MAX_BUFFERED_BYTES));
      return;
    }
    this.#isPassthrough = true;
    this.#stallWatch.stop();
    this.#observer.onProgress();
    this.#sendHeadOnce({ keepLength: true });
    this.#write(this.#buffer.take());
  }

  #sendHeadOnce(options = { keepLength: false }): void {
    if (this.#progress.isHeadSent || !this.#head) {
      return;
    }
    this.#progress.isHeadSent = true;
    const headers = this.#dialect.newAnswerHeaders(this.#head, options);
    this.#writer.sendHead(this.#head.status, headers);
  }

  #write(chunk: Buffer): void {
    const call = this.#call;
    if (!this.#writer.write(chunk) && call) {
      call.pause();
      this.#isPaused = true;
      this.#stallWatch.stop();
      this.#writer.onDrain(() => {
        this.#isPaused = false;
        if (!this.#isSettled) {
          call.resume();
          this.#watchForStall("gapMs");
        }
      });
    }
  }

  #watchForStall(phase: keyof StallTimeout): void {
    // No other upstream can go on in the middle of an answer without events.
    if (this.#isSettled || this.#isPaused || this.#isPassthrough) {
      return;
    }
    this.#stallWatch.start(phase);
  }

  #finish(outcome: SendOutcome): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    this.#stallWatch.stop();
    this.#buffer.take();
    this.#call?.abort();
    this.#resolveOutcome({ ...outcome, end: this.#end });
  }
}
