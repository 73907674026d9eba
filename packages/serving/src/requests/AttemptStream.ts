import type { AnswerAssembler } from "@lycheepulley/core";
import {
  isPeerError,
  PeerError,
  type AnswerChunk,
  type Cancel,
  type Clock,
} from "@lycheepulley/core";
import type { EngineClient, GenerateCall } from "@lycheepulley/engines";

/** An engine that sends nothing for this long between tokens has stalled. */
const TOKEN_STALL_MS = 5_000;
const MAX_SAME_ENGINE_RESUMES = 2;

/** Runs one attempt on one engine and resumes its stream there if it breaks. */
export class AttemptStream {
  readonly #engine: EngineClient;
  readonly #clock: Clock;
  readonly #assembler: AnswerAssembler;
  readonly #onChunk: (chunk: AnswerChunk) => void;
  readonly #requireEndMarker: boolean;

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

  /** Resolves when the answer is whole; throws when this engine can't finish it. */
  async run(call: GenerateCall, firstTokenTimeoutMs: number): Promise<void> {
    this.#assembler.beginAttempt(call.attemptId);
    const deadlineMs = this.#clock.now() + call.timeoutMs;
    let source = (): AsyncIterable<AnswerChunk> => this.#engine.generate(call);
    let lastErr: unknown;
    for (let resumes = 0; resumes <= MAX_SAME_ENGINE_RESUMES; resumes += 1) {
      try {
        await this.#consume(source, call.signal, firstTokenTimeoutMs);
        return;
      } catch (err) {
        lastErr = err;
        if (!isResumable(err) || call.signal.aborted) {
          break;
        }
      }
      source = () =>
        this.#engine.resume({
          attemptId: call.attemptId,
          fromSeq: this.#assembler.nextSeq,
          timeoutMs: Math.max(1, deadlineMs - this.#clock.now()),
          signal: call.signal,
        });
    }
    throw lastErr;
  }

  async #consume(
    source: () => AsyncIterable<AnswerChunk>,
    signal: AbortSignal,
    firstTokenTimeoutMs: number,
  ): Promise<void> {
    const iterator = source()[Symbol.asyncIterator]();
    try {
      for (let timeoutMs = firstTokenTimeoutMs; ; timeoutMs = TOKEN_STALL_MS) {
        const next = await this.#nextWithin(iterator, timeoutMs, signal);
        if (next.done) {
          break;
        }
        this.#assembler.push(next.value).forEach(this.#onChunk);
        if (this.#assembler.finishReason !== undefined) {
          return;
        }
      }
    } finally {
      void iterator.return?.().catch(() => undefined);
    }
    if (this.#requireEndMarker) {
      throw new PeerError(this.#engine.name, "stream ended with chunks missing", { sent: true });
    }
  }

  #nextWithin(
    iterator: AsyncIterator<AnswerChunk>,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<IteratorResult<AnswerChunk>> {
    return new Promise((resolve, reject) => {
      let cancel: Cancel = () => undefined;
      const settle = (): void => {
        cancel();
        signal.removeEventListener("abort", onAbort);
      };
      const fail = (message: string, code: string): void => {
        settle();
        reject(new PeerError(this.#engine.name, message, { sent: true, code }));
      };
      const onAbort = (): void => {
        fail("cancelled", "cancelled");
      };
      cancel = this.#clock.setTimer(() => {
        fail(`no token within ${String(Math.round(timeoutMs))} ms`, STALLED);
      }, timeoutMs);
      signal.addEventListener("abort", onAbort);
      iterator.next().then(
        (result) => {
          settle();
          resolve(result);
        },
        (err: unknown) => {
          settle();
          reject(err instanceof Error ? err : new Error(String(err)));
        },
      );
    });
  }
}

/** Code of an error for a stream that stopped without breaking. */
export const STALLED = "stalled";

/** A broken connection may be resumed; a refusal or a stall may not. */
const isResumable = (err: unknown): boolean =>
  isPeerError(err) && err.sent && err.status === undefined && err.options.code !== STALLED;
