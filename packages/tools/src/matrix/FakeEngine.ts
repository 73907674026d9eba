import { PeerError, type AnswerChunk } from "@lycheepulley/core";
import type {
  CacheEventPage,
  EngineClient,
  EngineLoad,
  EngineOrder,
  EngineState,
  GenerateCall,
  KvHolding,
  KvReserveCall,
  OnChunk,
  OrderResult,
  ResumeCall,
} from "@lycheepulley/engines";

import type { MatrixClock, ProcessClock } from "./MatrixClock.js";

const FIRST_TOKEN_DELAY_MS = 60;
const TOKEN_INTERVAL_MS = 30;
const RESTART_DELAY_MS = 3_000;
const CALL_DELAY_MS = 2;
/** Index of the first token that a lost answer lacks. */
const LOST_FROM_SEQ = 4;
/** Tokens in every answer. */
export const ANSWER_TOKENS = 6;
/** A prompt that contains this text crashes the engine. */
export const POISON = "poison";

/** Answer of every fake engine to a request body. */
export const getExpectedAnswer = (body: string): string =>
  Array.from({ length: ANSWER_TOKENS }, (_, seq) => getToken(body, seq)).join("");

const getToken = (body: string, seq: number): string => `${String(body.length)}.${String(seq)} `;

/** An answer in progress and the processes that read it. */
interface Stream {
  readonly body: string;
  emitted: number;
  readonly listeners: Set<{
    readonly process: ProcessClock;
    readonly onToken: (seq: number) => void;
    readonly onDisconnect: () => void;
  }>;
}

/** One run in the engine's own record. */
export interface EngineRun {
  readonly attemptId: string;
  readonly atMs: number;
  readonly key: string | undefined;
}

/** One order in the engine's own record. */
export interface ReceivedOrder {
  readonly order: EngineOrder;
  readonly accepted: boolean;
  readonly atMs: number;
}

/** In-memory engine with injectable faults. */
export class FakeEngine {
  readonly name: string;
  readonly isFencing: boolean;
  readonly runs: EngineRun[] = [];
  readonly orders: ReceivedOrder[] = [];
  readonly #clock: MatrixClock;
  readonly #streams = new Map<string, Stream>();
  readonly #holdings = new Map<string, KvHolding>();
  #incarnation = 1;
  #state: EngineOrder;
  #isUp = true;
  isLeaving = false;
  /** Number of streams still to end early, without their end marker. */
  loseAnswers = 0;
  /** Whether new streams send chunks out of order, twice and of another attempt. */
  shufflesChunks = false;
  /** Whether memory stays in use after a stream has ended. */
  forgetsToFree = false;
  /** Bodies of the prompts that crashed the engine. */
  readonly crashingBodies: string[] = [];
  /** Called for each order before it takes effect. */
  onOrderReceived: () => void = () => undefined;
  /** Called for each order after it took effect and before its answer. */
  onOrderApplied: () => void = () => undefined;

  constructor(options: { name: string; clock: MatrixClock; isFencing: boolean; version: string }) {
    this.name = options.name;
    this.isFencing = options.isFencing;
    this.#clock = options.clock;
    this.#state = {
      ...{ fence: 0, model: "m", version: options.version, adapters: [], role: "mixed" },
    };
  }

  get state(): EngineOrder {
    return this.#state;
  }

  /** KV memory in use, in tokens. */
  get kvUsedTokens(): number {
    return [...this.#holdings.values()].reduce((sum, holding) => sum + holding.tokens, 0);
  }

  /** Drops all streams and memory, and restarts after a delay. */
  crash(): void {
    if (!this.#isUp) {
      return;
    }
    this.#isUp = false;
    this.#incarnation += 1;
    const disconnected = [...this.#streams.values()].flatMap(({ listeners }) => [...listeners]);
    this.#streams.clear();
    this.#holdings.clear();
    disconnected.forEach(({ onDisconnect }) => {
      onDisconnect();
    });
    this.#clock.setTimer(() => {
      this.#isUp = true;
    }, RESTART_DELAY_MS);
  }

  /** Creates the client that one process uses. */
  newClient(process: ProcessClock): EngineClient {
    const deliver = process.settleWhenRunning.bind(process);
    const unsupported = (): Promise<never> =>
      Promise.reject(new Error("the fake engine doesn't export segments"));
    return {
      name: this.name,
      generate: (call, onChunk) =>
        deliver(this.#generate(call, process, deliverChunks(process, onChunk))),
      resume: (call, onChunk) =>
        deliver(this.#resume(call, process, deliverChunks(process, onChunk))),
      cancel: (id) =>
        deliver(
          this.#call(() => {
            this.#cancel(id);
          }),
        ),
      fetchLoad: () => deliver(this.#call(() => this.#getLoad())),
      fetchCacheEvents: () => deliver(this.#call((): CacheEventPage => ({ next: 0, events: [] }))),
      fetchState: () => deliver(this.#call(() => this.#getState())),
      order: (order) => deliver(this.#order(order)),
      listKv: () => deliver(this.#call(() => [...this.#holdings.values()])),
      reserveKv: (call) => deliver(this.#call(() => this.#reserve(call))),
      renewKv: () => deliver(this.#call(() => undefined)),
      releaseKv: (id) =>
        deliver(
          this.#call(() => {
            this.#holdings.delete(id);
          }),
        ),
      exportSegment: unsupported,
      close: () => Promise.resolve(),
    };
  }

  async #call<T>(fn: () => T): Promise<T> {
    await this.#delay(CALL_DELAY_MS);
    if (!this.#isUp) {
      throw new PeerError(this.name, "connection refused", { sent: false, code: "ECONNREFUSED" });
    }
    return fn();
  }

  async #generate(call: GenerateCall, process: ProcessClock, onChunk: OnChunk): Promise<void> {
    call.onSend?.();
    await this.#call(() => undefined);
    if (this.isLeaving) {
      throw new PeerError(this.name, "leaving", { sent: true, status: 503 });
    }
    const { attemptId, body } = call;
    this.runs.push({ attemptId, atMs: this.#clock.now(), key: call.headers?.["idempotency-key"] });
    if (body.includes(POISON)) {
      this.crashingBodies.push(body);
      this.crash();
      throw new PeerError(this.name, "connection reset", { sent: true });
    }
    const tokens = body.length + ANSWER_TOKENS;
    const kind = "stream" as const;
    this.#holdings.set(attemptId, { id: attemptId, owner: "", tokens, kind, termLeftMs: 0 });
    const stream = { body, emitted: call.resume?.fromSeq ?? 0, listeners: new Set<never>() };
    this.#streams.set(attemptId, stream);
    this.#clock.setTimer(() => {
      this.#emitToken(attemptId);
    }, FIRST_TOKEN_DELAY_MS);
    const position = { id: attemptId, fromSeq: stream.emitted };
    await this.#streamTokens({ ...position, process, signal: call.signal, onChunk });
  }

  async #resume(call: ResumeCall, process: ProcessClock, onChunk: OnChunk): Promise<void> {
    await this.#call(() => undefined);
    if (!this.#streams.has(call.attemptId)) {
      throw new PeerError(this.name, "no such stream", { sent: true, status: 404 });
    }
    const position = { id: call.attemptId, fromSeq: call.fromSeq };
    await this.#streamTokens({ ...position, process, signal: call.signal, onChunk });
  }

  /**
   * Sends a stream's tokens from `fromSeq` on; rejects if the engine crashes or the call is
   * aborted.
   */
  #streamTokens(options: {
    id: string;
    fromSeq: number;
    process: ProcessClock;
    signal: AbortSignal;
    onChunk: OnChunk;
  }): Promise<void> {
    const { id, fromSeq, process, signal, onChunk } = options;
    const stream = this.#streams.get(id);
    return new Promise((resolve, reject) => {
      const fail = (message: string): void => {
        stream?.listeners.delete(listener);
        reject(new PeerError(this.name, message, { sent: true }));
      };
      const sendChunk = this.shufflesChunks ? shuffleChunks(onChunk) : onChunk;
      const onToken = (seq: number): void => {
        if (this.loseAnswers > 0 && seq === LOST_FROM_SEQ) {
          // The connection closes without an error and without the end marker.
          this.loseAnswers -= 1;
          stream?.listeners.delete(listener);
          resolve();
          return;
        }
        sendChunk(this.#newChunk(id, stream?.body ?? "", seq));
        if (seq === ANSWER_TOKENS - 1) {
          stream?.listeners.delete(listener);
          resolve();
        }
      };
      const listener = {
        process,
        onToken,
        onDisconnect: () => {
          fail("connection reset");
        },
      };
      for (let seq = fromSeq; seq < (stream?.emitted ?? 0); seq += 1) {
        onToken(seq);
      }
      stream?.listeners.add(listener);
      signal.addEventListener("abort", () => {
        fail("cancelled");
      });
    });
  }

  #emitToken(id: string): void {
    const stream = this.#streams.get(id);
    if (!stream) {
      return;
    }
    const listeners = [...stream.listeners];
    if (listeners.length > 0 && listeners.every(({ process }) => process.isDead)) {
      // Every reader has died: the engine waits for a resume and keeps the memory.
      return;
    }
    const seq = stream.emitted;
    stream.emitted += 1;
    [...stream.listeners].forEach(({ onToken }) => {
      onToken(seq);
    });
    if (stream.emitted < ANSWER_TOKENS) {
      this.#clock.setTimer(() => {
        this.#emitToken(id);
      }, TOKEN_INTERVAL_MS);
    } else if (!this.forgetsToFree) {
      this.#holdings.delete(id);
    }
  }

  #newChunk(attemptId: string, body: string, seq: number): AnswerChunk {
    const finishReason = seq === ANSWER_TOKENS - 1 ? "stop" : undefined;
    return { attemptId, seq, text: getToken(body, seq), finishReason };
  }

  #cancel(id: string): void {
    this.#streams.delete(id);
    if (!this.forgetsToFree) {
      this.#holdings.delete(id);
    }
  }

  #reserve({ id, owner, tokens, termMs }: KvReserveCall): boolean {
    this.#holdings.set(id, { id, owner, tokens, kind: "reservation", termLeftMs: termMs });
    return true;
  }

  async #order(order: EngineOrder): Promise<OrderResult> {
    this.onOrderReceived();
    await this.#call(() => undefined);
    const accepted = !this.isFencing || order.fence >= this.#state.fence;
    this.orders.push({ order, accepted, atMs: this.#clock.now() });
    this.#state = accepted ? order : this.#state;
    this.onOrderApplied();
    await this.#call(() => undefined);
    return { accepted, fence: this.#state.fence };
  }

  #getLoad(): EngineLoad {
    return {
      ...{ atMs: this.#clock.now(), running: this.#streams.size, waiting: 0 },
      ...{ waitingPrefillTokens: 0, kvUsedTokens: this.kvUsedTokens, kvTotalTokens: 1_000_000 },
      ...{
        leaving: this.isLeaving,
        incarnation: String(this.#incarnation),
        model: this.#state.model,
      },
    };
  }

  #getState(): EngineState {
    const { fence, model, version, adapters, role } = this.#state;
    const incarnation = String(this.#incarnation);
    return { incarnation, fence, model, version, adapters: [...adapters], role, loading: false };
  }

  #delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.setTimer(resolve, ms);
    });
  }
}

const deliverChunks =
  (process: ProcessClock, onChunk: OnChunk): OnChunk =>
  (chunk) => {
    process.run(() => {
      onChunk(chunk);
    });
  };

/** Swaps each pair of chunks, repeats the first of the pair and adds chunks of another attempt. */
const shuffleChunks = (onChunk: OnChunk): OnChunk => {
  let delayed: AnswerChunk | undefined;
  return (chunk) => {
    onChunk({ ...chunk, attemptId: `${chunk.attemptId}-old`, text: "stale " });
    if (!delayed && chunk.finishReason === undefined) {
      delayed = chunk;
      return;
    }
    onChunk(chunk);
    if (delayed) {
      onChunk(delayed);
      onChunk(delayed);
    }
    delayed = undefined;
  };
};
