import { getPrefixBlocks, PREFIX_BLOCK_BYTES, type Cancel, type Clock } from "@lycheepulley/core";

import { getAnswerToken } from "./answer.js";
import { HoldingKind, KvAllocator } from "./KvAllocator.js";
import { PrefixCache } from "./PrefixCache.js";
import { getStepMs, type EngineRates } from "./rates.js";

const MAX_CACHED_BLOCKS = 4_096;
const BYTES_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;

/** One request on the engine. */
export interface EngineJob {
  readonly attemptId: string;
  readonly promptText: string;
  readonly promptHash: string;
  readonly priority: number;
  readonly outputTokens: number;
  /** Answer tokens that exist already, computed as part of the prompt. */
  readonly fromSeq: number;
  /** Prompt tokens whose KV is imported from other engines. */
  readonly importedTokens: number;
  /** Reservation whose memory the job takes over. */
  readonly reservationId: string | undefined;
  /** True for a segment that only fills KV and yields no answer. */
  readonly isSegment: boolean;
  /** Tokens of this engine's part of the prompt. */
  readonly promptTokens: number;
}

interface Sequence {
  readonly job: EngineJob;
  readonly blocks: readonly string[];
  prefillLeft: number;
  emitted: number;
  importMs: number;
  isFinished: boolean;
}

/** Receives what a job produces. */
export interface JobSink {
  onToken(seq: number, text: string, finishReason: string | undefined): void;
}

/** Tokens of a text by the engine's own count. */
export const countTokens = (text: string): number =>
  Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));

/**
 * Continuous batching in model time: each step decodes one token of every
 * stream and spends a bounded chunk on prompts, by priority, then by arrival.
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
      waitingPrefillTokens: sequences.reduce((sum, seq) => sum + seq.prefillLeft, 0),
    };
  }

  get cacheStats(): { promptTokens: number; cachedTokens: number } {
    return { promptTokens: this.#promptTokens, cachedTokens: this.#cachedPromptTokens };
  }

  setSlowFactor(factor: number): void {
    this.#slowFactor = factor;
  }

  setHung(isHung: boolean): void {
    this.#isHung = isHung;
    if (!isHung) {
      this.#scheduleStep();
    }
  }

  submit(job: EngineJob, sink: JobSink): void {
    const blocks = job.isSegment ? [] : getPrefixBlocks(job.promptText, MAX_CACHED_BLOCKS);
    const sequence: Sequence = {
      job,
      blocks,
      prefillLeft: job.promptTokens + job.fromSeq,
      emitted: job.fromSeq,
      importMs: (job.importedTokens / this.#rates.importTokensPerS) * 1_000,
      isFinished: false,
    };
    this.#sinks.set(job.attemptId, sink);
    this.#waiting.push(sequence);
    this.#scheduleStep();
  }

  /** Ends a job and frees its memory. */
  cancel(attemptId: string): void {
    this.#waiting = this.#waiting.filter((seq) => seq.job.attemptId !== attemptId);
    this.#running = this.#running.filter((seq) => seq.job.attemptId !== attemptId);
    this.#sinks.delete(attemptId);
    if (!this.kv.leaksMemory) {
      this.kv.release(attemptId);
    }
  }

  /** Loses everything, as a death does. */
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

  #scheduleStep(): void {
    if (this.#cancelStep || this.#isHung) {
      return;
    }
    this.#admit();
    if (this.#running.length === 0) {
      return;
    }
    const plan = this.#planChunk();
    const decoding = this.#running.filter((seq) => seq.prefillLeft === 0 && !seq.job.isSegment);
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

  #admit(): void {
    this.#waiting.sort((a, b) => a.job.priority - b.job.priority);
    const stillWaiting: Sequence[] = [];
    for (const sequence of this.#waiting) {
      const hasRoom = this.#running.length < this.#rates.maxStreams;
      if (hasRoom && this.#tryTakeMemory(sequence.job)) {
        this.#applyCache(sequence);
        this.#running.push(sequence);
      } else {
        stillWaiting.push(sequence);
      }
    }
    this.#waiting = stillWaiting;
  }

  #tryTakeMemory(job: EngineJob): boolean {
    if (job.isSegment) {
      return true;
    }
    if (job.reservationId !== undefined) {
      this.kv.release(job.reservationId);
    }
    const isHeld = this.kv.tryAllocate({
      id: job.attemptId,
      owner: "stream",
      tokens: job.promptTokens + job.outputTokens,
      kind: HoldingKind.Stream,
      termEndMs: Infinity,
    });
    this.cache.shrink(Math.floor(this.kv.freeTokens / TOKENS_PER_BLOCK));
    return isHeld;
  }

  #applyCache(sequence: Sequence): void {
    const cached = this.cache.touchPrefix(sequence.blocks) * TOKENS_PER_BLOCK;
    this.#promptTokens += sequence.job.promptTokens;
    this.#cachedPromptTokens += cached;
    // The last token of a prompt is always computed.
    sequence.prefillLeft = Math.max(1, sequence.prefillLeft - cached);
  }

  #planChunk(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let budget = this.#rates.chunkTokens;
    const byPriority = [...this.#running].sort((a, b) => a.job.priority - b.job.priority);
    for (const sequence of byPriority) {
      const tokens = Math.min(budget, sequence.prefillLeft);
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
      sequence.prefillLeft -= tokens;
      sequence.importMs = 0;
      if (sequence.prefillLeft === 0) {
        this.#finishPrefill(sequence);
      }
    }
    this.#running = this.#running.filter((seq) => !seq.isFinished);
  }

  #finishPrefill(sequence: Sequence): void {
    const spare = Math.floor(this.kv.freeTokens / TOKENS_PER_BLOCK);
    this.cache.add(sequence.blocks, spare);
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
    const seq = sequence.emitted;
    sequence.emitted += 1;
    const isLast = sequence.emitted >= job.outputTokens;
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
