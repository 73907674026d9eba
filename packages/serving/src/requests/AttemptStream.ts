import type { AnswerAssembler } from "@lycheepulley/core";
import {
  isPeerError,
  PeerError,
  type AnswerChunk,
  type Cancel,
  type Clock,
} from "@lycheepulley/core";
import type { EngineClient, GenerateCall } from "@lycheepulley/engines";

/** A stream with no token for this long, after the first one, has stalled. */
const TOKEN_STALL_MS = 5_000;
const MAX_SAME_ENGINE_RESUMES = 2;

/** Runs one attempt on one engine, and resumes its stream there when the connection breaks. */
export class AttemptStream {
  readonly #engine: EngineClient;
  readonly #clock: Clock;
  readonly #assembler: AnswerAssembler;
  readonly #onChunk: (chunk: AnswerChunk) => void;
  readonly #requireEndMarker: boolean;
  #hasResumed = false;

  constructor(options: {
    engine: EngineClient;
    clock: Clock;
    assembler: AnswerAssembler;
    onChunk: (chunk: AnswerChunk) => void;
    requireEndMarker: boolean;
  }) {
    this.#engine = options.engine;
    this.#clock = options.clock;
    this.#assembler = options.assembler;
    this.#onChunk = options.onChunk;
    this.#requireEndMarker = options.requireEndMarker;
  }

  /** True once a connection that had carried the request broke, however its resume ended. */
  get hasResumed(): boolean {
    return this.#hasResumed;
  }

  /** Resolves when the answer is complete; throws when this engine can't finish it. */
  async run(call: Omit<GenerateCall, "signal">, options: AttemptLimits): Promise<void> {
    this.#assembler.beginAttempt(call.attemptId);
    const deadlineMs = this.#clock.now() + call.timeoutMs;
    for (let resumes = 0; ; resumes += 1) {
      try {
        await this.#readStream(call, { ...options, deadlineMs, isResume: resumes > 0 });
        return;
      } catch (err) {
        const mustStop = resumes >= MAX_SAME_ENGINE_RESUMES || options.signal.aborted;
        if (mustStop || !isResumable(err)) {
          throw resumes > 0 ? toSent(err) : err;
        }
        this.#hasResumed = true;
      }
    }
  }

  /** Reads the answer from one connection, under a watchdog. */
  async #readStream(
    call: Omit<GenerateCall, "signal">,
    options: AttemptLimits & { deadlineMs: number; isResume: boolean },
  ): Promise<void> {
    const watchdog = new Watchdog(this.#clock, options);
    const onChunk = (chunk: AnswerChunk): void => {
      watchdog.reset();
      this.#assembler.push(chunk).forEach(this.#onChunk);
    };
    const { signal } = watchdog;
    try {
      if (options.isResume) {
        const timeoutMs = Math.max(1, options.deadlineMs - this.#clock.now());
        const { attemptId, maxTokens } = call;
        const fromSeq = this.#assembler.nextSeq;
        await this.#engine.resume({ attemptId, fromSeq, maxTokens, timeoutMs, signal }, onChunk);
      } else {
        await this.#engine.generate({ ...call, signal }, onChunk);
      }
    } catch (err) {
      if (this.#assembler.finishReason === undefined) {
        throw watchdog.stallError ?? err;
      }
    } finally {
      watchdog.stop();
    }
    if (this.#assembler.finishReason === undefined && this.#requireEndMarker) {
      const message = "stream ended with chunks missing";
      throw new PeerError(this.#engine.name, message, { sent: true });
    }
  }
}

/** Limits of one attempt. */
export interface AttemptLimits {
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly firstTokenTimeoutMs: number;
}

/** Error code of a stream that stalled while its connection stayed open. */
export const STALLED_CODE = "stalled";

/** Aborts a stream when no chunk arrives within the limit. */
class Watchdog {
  readonly #clock: Clock;
  readonly #abort = new AbortController();
  readonly #outerSignal: AbortSignal;
  #limitMs: number;
  #lastChunkMs: number;
  #cancel: Cancel = () => undefined;
  #stallError: PeerError | undefined;

  constructor(clock: Clock, options: AttemptLimits) {
    this.#clock = clock;
    this.#outerSignal = options.signal;
    this.#limitMs = options.firstTokenTimeoutMs;
    this.#lastChunkMs = clock.now();
    if (options.signal.aborted) {
      this.#abort.abort();
    }
    options.signal.addEventListener("abort", this.#onOuterAbort);
    this.#schedule(this.#limitMs);
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Error to report when this watchdog aborted the stream. */
  get stallError(): PeerError | undefined {
    return this.#stallError;
  }

  reset(): void {
    this.#lastChunkMs = this.#clock.now();
    this.#limitMs = TOKEN_STALL_MS;
  }

  stop(): void {
    this.#cancel();
    this.#outerSignal.removeEventListener("abort", this.#onOuterAbort);
  }

  readonly #onOuterAbort = (): void => {
    this.#abort.abort();
  };

  #schedule(delayMs: number): void {
    this.#cancel = this.#clock.setTimer(() => {
      const leftMs = this.#lastChunkMs + this.#limitMs - this.#clock.now();
      if (leftMs > 0) {
        this.#schedule(leftMs);
        return;
      }
      const message = `no token within ${String(Math.round(this.#limitMs))} ms`;
      this.#stallError = new PeerError("engine", message, { sent: true, code: STALLED_CODE });
      this.#abort.abort();
    }, delayMs);
  }
}

/** Marks an error as sent: the attempt was sent even if its resume wasn't. */
const toSent = (err: unknown): unknown =>
  isPeerError(err) && !err.sent
    ? new PeerError(err.peer, err.message, { ...err.options, sent: true, cause: err })
    : err;

/** Tells whether to resume: after a broken connection, but not after an error status or a stall. */
const isResumable = (err: unknown): boolean =>
  isPeerError(err) && err.sent && err.status === undefined && err.options.code !== STALLED_CODE;
