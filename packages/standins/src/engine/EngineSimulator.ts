import { getPrefixBlocks, PREFIX_BLOCK_BYTES, type Cancel, type Clock } from "@lycheepulley/core";

import { getAnswerToken } from "./answer.js";
import { HoldingKind, KvAllocator } from "./KvAllocator.js";
import { PrefixCache } from "./PrefixCache.js";
import { getStepMs, type EngineRates } from "./rates.js";

const MAX_CACHED_BLOCKS = 4_096;
const BYTES_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

/** A request as submitted to the engine. */
export interface EngineJob {
  readonly attemptId: string;
  readonly promptText: string;
  readonly promptHash: string;
  readonly priority: number;
  readonly outputTokens: number;
  /** Number of answer tokens that another engine has sent already; prefilled with the prompt. */
  readonly fromSeq: number;
  /** Prompt tokens whose KV is imported from other engines. */
  readonly importedTokens: number;
  /** Reservation that the job's memory replaces. */
  readonly reservationId: string | undefined;
  /** True for a prefill of one segment, which yields no answer. */
  readonly isSegment: boolean;
  /** Prompt tokens that this engine prefills; excludes imported ones. */
  readonly promptTokens: number;
}

/** A job's progress through prefill and decode. */
interface Sequence {
  readonly job: EngineJob;
  readonly blocks: readonly string[];
  remainingPrefillTokens: number;
  /** Sequence number of the next answer token. */
  nextSeq: number;
  /** Time to import KV, added to the first step that prefills the job. */
  importMs: number;
  isFinished: boolean;
}

/** Receives the tokens that a job produces. */
export interface JobSink {
  onToken(seq: number, text: string, finishReason: string | undefined): void;
}

/** Number of tokens in a text, as the simulated engine counts them. */
export const countTokens = (text: string): number =>
  Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));

/**
 * Simulates an engine with continuous batching and chunked prefill in simulated time: each step
 * decodes one token of every stream and prefills a limited number of prompt tokens, by priority,
 * then by arrival.
 */
export class EngineSimulator {
  readonly kv: KvAllocator;
  readonly cache = new PrefixCache();
  readonly #clock: Clock;
  readonly #rates: EngineRates;
  readonly #timeScale: number;
  readonly #sinks = new Map<string, JobSink>();
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  #cancelStep: Cancel | undefined;
  #slowFactor = 1;
  #isHung = false;
  #cachedPromptTokens = 0;
  #promptTokens = 0;

  constructor(clock: Clock, rates: EngineRates, timeScale: number) {
    this.#clock = clock;
    this.#rates = rates;
    this.#timeScale = timeScale;
    this.kv = new KvAllocator(clock, rates.kvTokens);
  }

  get load(): { running: number; waiting: number; waitingPrefillTokens: number } {
    const sequences = [...this.#running, ...this.#waiting];
    return {
      running: this.#running.length,
      waiting: this.#waiting.length,
      waitingPrefillTokens: sequences.reduce((sum, seq) => sum + seq.remainingPrefillTokens, 0),
    };
  }

  get cacheStats(): { promptTokens: number; cachedTokens: number } {
    return { promptTokens: this.#promptTokens, cachedTokens: this.#cachedPromptTokens };
  }

  /** Makes every following step take `factor` times as long. */
  setSlowFactor(factor: number): void {
    this.#slowFactor = factor;
  }

  /** Stops or resumes computing. */
  setHung(isHung: boolean): void {
    this.#isHung = isHung;
    if (!isHung) {
      this.#scheduleStep();
    }
  }

  /** Queues a job; `sink` receives its tokens. */
  submit(job: EngineJob, sink: JobSink): void {
    const blocks = job.isSegment ? [] : getPrefixBlocks(job.promptText, MAX_CACHED_BLOCKS);
    const sequence: Sequence = {
      job,
      blocks,
      remainingPrefillTokens: job.promptTokens + job.fromSeq,
      nextSeq: job.fromSeq,
      importMs: (job.importedTokens / this.#rates.importTokensPerS) * 1_000,
      isFinished: false,
    };
    this.#sinks.set(job.attemptId, sink);
    this.#waiting.push(sequence);
    this.#scheduleStep();
  }

  /** Removes a job and frees its memory. */
  cancel(attemptId: string): void {
    this.#waiting = this.#waiting.filter((seq) => seq.job.attemptId !== attemptId);
    this.#running = this.#running.filter((seq) => seq.job.attemptId !== attemptId);
    this.#sinks.delete(attemptId);
    if (!this.kv.leaksMemory) {
      this.kv.release(attemptId);
    }
  }

  /** Loses all jobs, KV memory and cached blocks, as in a crash. */
  reset(): void {
    this.#cancelStep?.();
    this.#cancelStep = undefined;
    this.#waiting = [];
    this.#running = [];
    this.#sinks.clear();
    this.kv.clear();
    this.cache.clear();
    this.#isHung = false;
  }

  /** Starts the next step unless one is running, the engine hangs or there is no work. */
  #scheduleStep(): void {
    if (this.#cancelStep || this.#isHung) {
      return;
    }
    this.#admit();
    if (this.#running.length === 0) {
      return;
    }
    const plan = this.#planChunk();
    const decoding = this.#running.filter(
      (seq) => seq.remainingPrefillTokens === 0 && !seq.job.isSegment,
    );
    const prefillTokens = [...plan.values()].reduce((sum, tokens) => sum + tokens, 0);
    const importMs = [...plan.keys()].reduce((sum, seq) => sum + seq.importMs, 0);
    const stepMs = getStepMs(this.#rates, decoding.length, prefillTokens) + importMs;
    this.#cancelStep = this.#clock.setTimer(
      () => {
        this.#cancelStep = undefined;
        if (this.#isHung) {
          return;
        }
        this.#finishStep(plan, decoding);
        this.#scheduleStep();
      },
      (stepMs * this.#slowFactor) / this.#timeScale,
    );
  }

  /** Moves waiting jobs into the batch, by priority, while slots and memory last. */
  #admit(): void {
    this.#waiting.sort((a, b) => a.job.priority - b.job.priority);
    const stillWaiting: Sequence[] = [];
    for (const sequence of this.#waiting) {
      const hasFreeSlot = this.#running.length < this.#rates.maxStreams;
      if (hasFreeSlot && this.#tryAllocateMemory(sequence.job)) {
        this.#applyCache(sequence);
        this.#running.push(sequence);
      } else {
        stillWaiting.push(sequence);
      }
    }
    this.#waiting = stillWaiting;
  }

  /** Replaces a job's reservation by all memory that it needs; the cache gets what stays free. */
  #tryAllocateMemory(job: EngineJob): boolean {
    if (job.isSegment) {
      return true;
    }
    if (job.reservationId !== undefined) {
      this.kv.release(job.reservationId);
    }
    const isAllocated = this.kv.tryAllocate({
      id: job.attemptId,
      owner: "stream",
      tokens: job.promptTokens + job.outputTokens,
      kind: HoldingKind.Stream,
      termEndMs: Infinity,
    });
    this.cache.shrink(Math.floor(this.kv.freeTokens / TOKENS_PER_BLOCK));
    return isAllocated;
  }

  /** Skips the prefill of cached leading blocks. */
  #applyCache(sequence: Sequence): void {
    const cached = this.cache.touchPrefix(sequence.blocks) * TOKENS_PER_BLOCK;
    this.#promptTokens += sequence.job.promptTokens;
    this.#cachedPromptTokens += cached;
    // The last token of a prompt is always computed, even if its block is cached.
    sequence.remainingPrefillTokens = Math.max(1, sequence.remainingPrefillTokens - cached);
  }

  /** Divides the chunk of prompt tokens of one step among the running jobs. */
  #planChunk(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let budget = this.#rates.chunkTokens;
    const byPriority = [...this.#running].sort((a, b) => a.job.priority - b.job.priority);
    for (const sequence of byPriority) {
      const tokens = Math.min(budget, sequence.remainingPrefillTokens);
      if (tokens > 0) {
        plan.set(sequence, tokens);
        budget -= tokens;
      }
    }
    return plan;
  }

  #finishStep(plan: Map<Sequence, number>, decoding: readonly Sequence[]): void {
    for (const sequence of decoding) {
      this.#emitToken(sequence);
    }
    for (const [sequence, tokens] of plan) {
      sequence.remainingPrefillTokens -= tokens;
      sequence.importMs = 0;
      if (sequence.remainingPrefillTokens === 0) {
        this.#finishPrefill(sequence);
      }
    }
    this.#running = this.#running.filter((seq) => !seq.isFinished);
  }

  #finishPrefill(sequence: Sequence): void {
    const freeBlocks = Math.floor(this.kv.freeTokens / TOKENS_PER_BLOCK);
    this.cache.add(sequence.blocks, freeBlocks);
    if (sequence.job.isSegment) {
      sequence.isFinished = true;
      this.#sinks.get(sequence.job.attemptId)?.onToken(0, "", "segment");
      this.#sinks.delete(sequence.job.attemptId);
      return;
    }
    this.#emitToken(sequence);
  }

  #emitToken(sequence: Sequence): void {
    const { job } = sequence;
    const sink = this.#sinks.get(job.attemptId);
    if (!sink || sequence.isFinished) {
      return;
    }
    const seq = sequence.nextSeq;
    sequence.nextSeq += 1;
    const isLast = sequence.nextSeq >= job.outputTokens;
    if (isLast) {
      sequence.isFinished = true;
      this.#sinks.delete(job.attemptId);
      if (!this.kv.leaksMemory) {
        this.kv.release(job.attemptId);
      }
    }
    sink.onToken(seq, getAnswerToken(job.promptHash, seq), isLast ? "stop" : undefined);
  }
}
