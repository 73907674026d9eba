import {
  compactFate,
  FateState,
  newRequestId,
  RecordKind,
  Step,
  type Clock,
  type CompactFate,
  type Fate,
} from "@lycheepulley/core";
import type { LogWriter } from "@lycheepulley/log";

/** Number of fates kept in memory for look-ups; in-flight requests are never dropped. */
const MAX_KEPT_FATES = 5_000;
const FLUSH_INTERVAL_MS = 1_000;

/** Body of a log record with the fates of ended requests of one process. */
export interface FatesBody {
  readonly process: string;
  readonly incarnation: number;
  readonly lines: readonly CompactFate[];
}

/** Called with each step of a request as it is recorded. */
export type StepObserver = (trace: RequestTrace, step: string) => void;

/** Trace of one request: its id, its steps with their times, and its fate. */
export class RequestTrace {
  readonly requestId: string;
  readonly acceptedMs: number;
  readonly #clock: Clock;
  readonly #startMs: number;
  readonly #onEnd: (trace: RequestTrace) => void;
  readonly #onStep: StepObserver | undefined;
  #fate: Fate;

  constructor(options: {
    requestId: string;
    customer: string;
    clock: Clock;
    onEnd: (trace: RequestTrace) => void;
    onStep?: StepObserver | undefined;
  }) {
    this.#onStep = options.onStep;
    this.requestId = options.requestId;
    this.#clock = options.clock;
    this.#startMs = options.clock.now();
    this.acceptedMs = options.clock.wall();
    this.#onEnd = options.onEnd;
    this.#fate = {
      requestId: options.requestId,
      state: FateState.Running,
      className: "",
      customer: options.customer,
      acceptedMs: this.acceptedMs,
      steps: [],
    };
  }

  get fate(): Fate {
    return this.#fate;
  }

  get startMs(): number {
    return this.#startMs;
  }

  get isEnded(): boolean {
    return this.#fate.state !== FateState.Running;
  }

  /** Time since the request was accepted, milliseconds. */
  get ageMs(): number {
    return this.#clock.now() - this.#startMs;
  }

  setClass(className: string, promptTokens: number): void {
    this.#fate = { ...this.#fate, className, promptTokens };
  }

  mark(step: string, detail = ""): void {
    this.#fate.steps.push([step, this.ageMs, detail]);
    this.#onStep?.(this, step);
  }

  /** Sets the final state of the request; later calls have no effect. */
  end(state: FateState, reason?: string): void {
    if (this.isEnded) {
      return;
    }
    this.#fate = {
      ...this.#fate,
      state,
      endedAfterMs: this.ageMs,
      ...(reason === undefined ? {} : { reason }),
    };
    this.#onEnd(this);
  }
}

/** Keeps the fates of this process's requests in memory and appends them to the log in batches. */
export class FateRecorder {
  readonly #process: string;
  readonly #incarnation: number;
  readonly #clock: Clock;
  readonly #writer: LogWriter;
  readonly #onStep: StepObserver | undefined;
  readonly #traces = new Map<string, RequestTrace>();
  #unflushed: RequestTrace[] = [];
  #isFlushScheduled = false;
  #nextSeq = 1;
  #running = 0;
  #flushedBytes = 0;

  constructor(options: {
    process: string;
    incarnation: number;
    clock: Clock;
    writer: LogWriter;
    onStep?: StepObserver;
  }) {
    this.#onStep = options.onStep;
    this.#process = options.process;
    this.#incarnation = options.incarnation;
    this.#clock = options.clock;
    this.#writer = options.writer;
  }

  /** Number of in-flight requests. */
  get running(): number {
    return this.#running;
  }

  get flushedBytes(): number {
    return this.#flushedBytes;
  }

  begin(customer: string): RequestTrace {
    const requestId = newRequestId({
      process: this.#process,
      incarnation: this.#incarnation,
      atMs: this.#clock.wall(),
      seq: this.#nextSeq++,
    });
    this.#running += 1;
    const trace = new RequestTrace({
      requestId,
      customer,
      clock: this.#clock,
      onStep: this.#onStep,
      onEnd: (ended) => {
        this.#onEnd(ended);
      },
    });
    this.#traces.set(requestId, trace);
    trace.mark(Step.Accept);
    return trace;
  }

  /** Fate of a request that this process accepted; undefined when it is unknown or was evicted. */
  getFate(requestId: string): Fate | undefined {
    return this.#traces.get(requestId)?.fate;
  }

  /** Appends the fates of requests that ended since the last flush. */
  flush(): Promise<void> {
    this.#isFlushScheduled = false;
    if (this.#unflushed.length === 0) {
      return Promise.resolve();
    }
    const body: FatesBody = {
      process: this.#process,
      incarnation: this.#incarnation,
      lines: this.#unflushed.map((trace) => compactFate(trace.fate)),
    };
    this.#unflushed = [];
    this.#flushedBytes += Buffer.byteLength(JSON.stringify(body));
    const draft = { kind: RecordKind.Fates, key: this.#process, follows: null, body };
    return this.#writer.submit(draft).appended;
  }

  #onEnd(trace: RequestTrace): void {
    this.#running -= 1;
    this.#unflushed.push(trace);
    this.#evictOldest();
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      this.#clock.setTimer(() => void this.flush(), FLUSH_INTERVAL_MS);
    }
  }

  #evictOldest(): void {
    for (const [id, trace] of this.#traces) {
      if (this.#traces.size <= MAX_KEPT_FATES) {
        return;
      }
      if (trace.isEnded) {
        this.#traces.delete(id);
      }
    }
  }
}
