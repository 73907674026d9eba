import type { Clock } from "@lycheepulley/core";

import { EventSplitter, type StreamEvent } from "./EventSplitter.js";
import { SendResult, type BufferedAnswer, type SendOutcome } from "./outcomes.js";
import {
  SendState,
  type AnswerFacts,
  type AnswerHead,
  type AnswerWriter,
  type CallObserver,
  type Dialect,
  type ForwardRequest,
  type UpstreamCall,
} from "./types.js";

/** Answers up to this size are kept back until they are whole. */
const MAX_KEPT_BYTES = 1_048_576;

/** Statuses that tell a caller that its request never ran. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** State of the caller's answer that outlives one send. */
export interface AnswerProgress {
  /** Id of the last event that went to the caller. */
  lastEventId: string | undefined;
  /** Head of the first upstream's answer went out. */
  isHeadSent: boolean;
  /** The caller can tell the answer's end from a cut. */
  isFramed: boolean;
}

/** Time that an upstream may be silent, by how far it came. */
export interface StallTimeouts {
  /** Silence after which the upstream is asked whether it is alive. */
  readonly probe: StallTimeout;
  /** Silence that is borne from an upstream that is alive. */
  readonly abandon: StallTimeout;
}

/** Milliseconds before the first event, and between events. */
export interface StallTimeout {
  readonly firstMs: number;
  readonly gapMs: number;
}

/** One send of a request to an upstream, until its outcome is known. */
export class Send implements CallObserver {
  readonly #clock: Clock;
  readonly #dialect: Dialect;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #progress: AnswerProgress;
  readonly #silence: StallTimeouts | undefined;
  readonly #onFirstEvent: () => void;
  readonly #splitter = new EventSplitter();
  readonly #kept: Buffer[] = [];
  #keptBytes = 0;
  #head: AnswerHead | undefined;
  #facts: AnswerFacts | undefined;
  #isPassing = false;
  #call: UpstreamCall | undefined;
  #cancelSilence: () => void = () => undefined;
  readonly #isAlive: () => Promise<boolean>;
  #silenceRound = 0;
  #settle: (outcome: SendOutcome) => void = () => undefined;
  #isSettled = false;
  #hasEvents = false;

  /** Resolves once; the call is over by then. */
  readonly outcome: Promise<SendOutcome>;

  constructor(options: {
    clock: Clock;
    dialect: Dialect;
    req: ForwardRequest;
    writer: AnswerWriter;
    progress: AnswerProgress;
    /** Absent when silence is no reason to give up. */
    silence: StallTimeouts | undefined;
    onFirstEvent: () => void;
    /** Asks the upstream whether it is alive. */
    isAlive: () => Promise<boolean>;
  }) {
    this.#clock = options.clock;
    this.#dialect = options.dialect;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#progress = options.progress;
    this.#silence = options.silence;
    this.#onFirstEvent = options.onFirstEvent;
    this.#isAlive = options.isAlive;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  /** Takes the call whose events this object observes. */
  start(call: UpstreamCall): void {
    this.#call = call;
    if (this.#isSettled) {
      call.abort();
      return;
    }
    this.#watchSilence("firstMs");
  }

  /** Ends the send early. */
  stop(result: SendResult, reason: string): void {
    this.#finish({ result, reason });
  }

  onHead(head: AnswerHead): void {
    this.#head = head;
    this.#facts = this.#dialect.readAnswer(this.#req, head);
    if (!this.#facts.isValid) {
      this.#finish({ result: SendResult.Broken, reason: "answer is not the request's" });
    }
  }

  onData(chunk: Buffer): void {
    if (this.#isSettled) {
      return;
    }
    if (this.#isEventAnswer) {
      this.#passEvents(chunk);
    } else if (this.#isPassing) {
      this.#write(chunk);
    } else {
      this.#keep(chunk);
    }
  }

  onEnd(): void {
    if (this.#isSettled || !this.#head || !this.#facts) {
      return;
    }
    if (this.#isEventAnswer) {
      this.#endEvents();
      return;
    }
    if (this.#isPassing) {
      this.#writer.end();
      this.#finish({ result: SendResult.Delivered, reason: "whole answer" });
      return;
    }
    this.#endKept(this.#head, this.#facts);
  }

  onError(state: SendState, err: Error): void {
    const result = state === SendState.Unsent ? SendResult.Unsent : SendResult.Broken;
    this.#finish({ result, reason: err.message });
  }

  get #isEventAnswer(): boolean {
    return this.#head?.status === 200 && (this.#facts?.isEventStream ?? false);
  }

  #passEvents(chunk: Buffer): void {
    let events: StreamEvent[];
    try {
      events = this.#splitter.push(chunk);
    } catch (err) {
      this.#finish({ result: SendResult.Broken, reason: String(err) });
      return;
    }
    if (events.length === 0) {
      return;
    }
    if (!this.#hasEvents) {
      this.#hasEvents = true;
      this.#onFirstEvent();
    }
    this.#sendHeadOnce();
    for (const event of events) {
      this.#progress.lastEventId = event.id ?? this.#progress.lastEventId;
    }
    this.#write(Buffer.concat(events.map(({ bytes }) => bytes)));
    this.#watchSilence("gapMs");
  }

  #endEvents(): void {
    if (this.#splitter.pendingBytes > 0) {
      this.#finish({ result: SendResult.Broken, reason: "stream ended inside an event" });
      return;
    }
    if (this.#progress.isFramed && !this.#facts?.isFramed) {
      this.#finish({ result: SendResult.Broken, reason: "end of an unframed stream in doubt" });
      return;
    }
    this.#sendHeadOnce();
    this.#writer.end();
    this.#finish({ result: SendResult.Delivered, reason: "whole stream" });
  }

  #endKept(head: AnswerHead, facts: AnswerFacts): void {
    const body = Buffer.concat(this.#kept);
    const { faultAddress, isFramed } = facts;
    const answer = { head, body, isFramed };
    if (facts.isNotRun) {
      this.#finish({
        ...{ result: SendResult.NotRun, answer, faultAddress },
        reason: `status ${String(head.status)}, not run`,
      });
    } else if (PROMISE_STATUSES.has(head.status)) {
      const reason = `status ${String(head.status)} without a word that it didn't run`;
      this.#finish({ result: SendResult.Failed, reason, faultAddress });
    } else if (head.status >= 500) {
      const reason = `status ${String(head.status)}`;
      this.#finish({ result: SendResult.Failed, reason, answer, faultAddress });
    } else if (this.#progress.isHeadSent) {
      this.#finish({ result: SendResult.Broken, reason: "resumed stream without events" });
    } else {
      this.#deliver(answer);
      this.#finish({ result: SendResult.Delivered, reason: "whole answer" });
    }
  }

  #deliver(answer: BufferedAnswer): void {
    const headers = this.#dialect.newAnswerHeaders(answer.head, { keepLength: true });
    this.#writer.sendHead(answer.head.status, headers, answer.isFramed);
    this.#progress.isHeadSent = true;
    this.#writer.write(answer.body);
    this.#writer.end();
  }

  #keep(chunk: Buffer): void {
    this.#kept.push(chunk);
    this.#keptBytes += chunk.length;
    if (this.#keptBytes <= MAX_KEPT_BYTES || !this.#head || this.#progress.isHeadSent) {
      return;
    }
    this.#isPassing = true;
    this.#sendHeadOnce({ keepLength: true });
    this.#write(Buffer.concat(this.#kept.splice(0)));
  }

  #sendHeadOnce(options = { keepLength: false }): void {
    if (this.#progress.isHeadSent || !this.#head) {
      return;
    }
    this.#progress.isHeadSent = true;
    const isFramed = this.#facts?.isFramed ?? false;
    this.#progress.isFramed = isFramed;
    const headers = this.#dialect.newAnswerHeaders(this.#head, options);
    this.#writer.sendHead(this.#head.status, headers, isFramed);
  }

  #write(chunk: Buffer): void {
    const call = this.#call;
    if (!this.#writer.write(chunk) && call) {
      call.pause();
      this.#cancelSilence();
      this.#silenceRound += 1;
      this.#writer.onDrain(() => {
        if (!this.#isSettled) {
          call.resume();
          this.#watchSilence("gapMs");
        }
      });
    }
  }

  /** Doubts a silent upstream first, and gives it up when it is dead or silent for too long. */
  #watchSilence(part: keyof StallTimeout): void {
    this.#cancelSilence();
    const silence = this.#silence;
    if (!silence || this.#isSettled) {
      return;
    }
    const round = ++this.#silenceRound;
    const doubtMs = silence.probe[part];
    const endMs = Math.max(doubtMs, silence.abandon[part]);
    this.#cancelSilence = this.#clock.setTimer(() => {
      this.#cancelSilence = this.#clock.setTimer(() => {
        this.#endSilent(`silent for ${String(Math.round(endMs))} ms`);
      }, endMs - doubtMs);
      void this.#isAlive().then((isAlive) => {
        if (!isAlive && round === this.#silenceRound) {
          this.#endSilent(`silent for ${String(Math.round(doubtMs))} ms and not alive`);
        }
      });
    }, doubtMs);
  }

  #endSilent(reason: string): void {
    this.#finish({ result: SendResult.Broken, reason });
  }

  #finish(outcome: SendOutcome): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    this.#cancelSilence();
    this.#call?.abort();
    this.#settle(outcome);
  }
}
