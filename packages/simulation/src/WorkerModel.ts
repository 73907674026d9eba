import type { Cancel, Clock } from "@lycheepulley/core";
import type { EngineSpec } from "@lycheepulley/forwarding";

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;
const MAX_RESERVATIONS = 64;

/** Published constants of a worker, and its chunk size, which placement does not use. */
export interface WorkerSpec extends EngineSpec {
  /** Maximum number of prompt tokens prefilled per step. */
  readonly chunkTokens: number;
  /** Requests that wait for a slot before the worker rejects more. */
  readonly queueSlots: number;
}

/** A prompt, or a part of one, to prefill at one worker, and the answer to decode there. */
export interface WorkerJob {
  readonly id: string;
  readonly promptTokens: number;
  /** Tokens of the prompt that this worker prefills. */
  readonly partTokens: number;
  /** Workers that share the prefill of the whole prompt. */
  readonly members: number;
  /** Tokens to decode; 0 for a helper. */
  readonly outputTokens: number;
  /** KV memory that the job occupies at this worker, in tokens. */
  readonly kvTokens: number;
  readonly isHelper: boolean;
  readonly urgency: number;
  /** Called when the part is prefilled. */
  readonly onPrefilled: () => void;
  /** Called once per pass with the number of tokens decoded so far. */
  readonly onTokens: (decoded: number, isLast: boolean) => void;
}

interface RunningJob extends WorkerJob {
  prefillLeft: number;
  decoded: number;
  isPrefilled: boolean;
  mayDecode: boolean;
  /** False after a preemption until enough memory is free again. */
  hasMemory: boolean;
}

interface Reservation {
  readonly tokens: number;
  cancel: Cancel;
}

/**
 * Simulates the passes of one worker on an injected clock. A pass is a number of steps; each step
 * decodes one token per decoding job and prefills up to one chunk.
 */
export class WorkerModel {
  readonly spec: WorkerSpec;
  readonly #clock: Clock;
  readonly #jobs = new Map<string, RunningJob>();
  /** Requests that wait for a slot. */
  readonly #queue: RunningJob[] = [];
  readonly #reservations = new Map<string, Reservation>();
  #cancelPass: Cancel | undefined;
  /** Time that passes take, as a multiple of what the constants give. */
  pace = 1;
  /** Number of times that a request was preempted because memory ran out. */
  preemptions = 0;

  constructor(spec: WorkerSpec, clock: Clock) {
    this.spec = spec;
    this.#clock = clock;
  }

  get running(): number {
    return [...this.#jobs.values()].filter(({ isHelper }) => !isHelper).length;
  }

  get queued(): number {
    return this.#queue.length;
  }

  /** Time that the prompts in prefill still take, milliseconds. */
  get pendingPrefillMs(): number {
    return [...this.#jobs.values()].reduce(
      (sum, job) => sum + job.prefillLeft * this.#getPrefillMsPerToken(job),
      0,
    );
  }

  get helperJobs(): number {
    return this.#jobs.size - this.running;
  }

  /** KV memory used by requests and reserved, in tokens. */
  get kvUsed(): number {
    const held = [...this.#reservations.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    return [...this.#jobs.values()]
      .filter(({ hasMemory }) => hasMemory)
      .reduce((sum, { kvTokens }) => sum + kvTokens, held);
  }

  get reservationIds(): string[] {
    return [...this.#reservations.keys()];
  }

  /** Accepts a job, which may wait for a slot; returns false when the queue is full or the job exceeds the memory. */
  submit(job: WorkerJob): boolean {
    if (job.kvTokens > this.spec.kvTokens) {
      return false;
    }
    const running: RunningJob = {
      ...job,
      ...{ prefillLeft: job.partTokens, decoded: 0, isPrefilled: false, mayDecode: false },
      hasMemory: true,
    };
    if (this.#hasSlot(job)) {
      this.#start(running);
      return true;
    }
    if (job.isHelper || this.#queue.length >= this.spec.queueSlots) {
      return false;
    }
    this.#queue.push(running);
    return true;
  }

  #hasSlot(job: WorkerJob): boolean {
    return (job.isHelper ? this.helperJobs : this.running) < this.spec.slots;
  }

  #start(job: RunningJob): void {
    this.#jobs.set(job.id, job);
    this.#preempt();
    this.#schedulePass();
  }

  /** Starts waiting requests, the most urgent first, while slots are free. */
  #startQueued(): void {
    this.#queue.sort((a, b) => a.urgency - b.urgency);
    for (let next = this.#queue[0]; next && this.#hasSlot(next); next = this.#queue[0]) {
      this.#queue.shift();
      this.#start(next);
    }
  }

  /** Starts the decode of a job, once all members have prefilled their parts. */
  startDecoding(id: string): void {
    const job = this.#jobs.get(id);
    if (job) {
      job.mayDecode = true;
      this.#schedulePass();
    }
  }

  cancel(id: string): void {
    const at = this.#queue.findIndex((job) => job.id === id);
    if (at >= 0) {
      this.#queue.splice(at, 1);
    }
    if (this.#jobs.delete(id)) {
      this.#startQueued();
      this.#readmit();
    }
  }

  /** Ends all work without a word, as a crash does. */
  clear(): void {
    this.#jobs.clear();
    this.#queue.length = 0;
  }

  /** Reserves memory or renews a reservation; returns false when memory or reservations run out. */
  reserve(id: string, tokens: number, holdMs: number): boolean {
    const existing = this.#reservations.get(id);
    if (!existing && this.#reservations.size >= MAX_RESERVATIONS) {
      return false;
    }
    if (!existing && this.kvUsed + tokens > this.spec.kvTokens) {
      return false;
    }
    existing?.cancel();
    const cancel = this.#clock.setTimer(() => {
      this.release(id);
    }, holdMs);
    this.#reservations.set(id, { tokens: existing?.tokens ?? tokens, cancel });
    return true;
  }

  release(id: string): void {
    this.#reservations.get(id)?.cancel();
    this.#reservations.delete(id);
    this.#readmit();
  }

  /** Preempts prefilled requests, newest first, while memory is short; they prefill again later. */
  #preempt(): void {
    const newest = [...this.#jobs.values()].reverse();
    for (const job of newest) {
      if (this.kvUsed <= this.spec.kvTokens) {
        return;
      }
      if (!job.isHelper && job.isPrefilled) {
        this.preemptions += 1;
        job.isPrefilled = false;
        job.hasMemory = false;
        job.prefillLeft = job.partTokens;
      }
    }
  }

  /** Gives preempted requests their memory back, oldest first, while it is free. */
  #readmit(): void {
    for (const job of this.#jobs.values()) {
      if (!job.hasMemory && this.kvUsed + job.kvTokens <= this.spec.kvTokens) {
        job.hasMemory = true;
      }
    }
    this.#schedulePass();
  }

  #schedulePass(): void {
    if (this.#cancelPass || !this.#hasWork()) {
      return;
    }
    const decoding = [...this.#jobs.values()].filter(
      ({ isPrefilled, mayDecode }) => isPrefilled && mayDecode,
    );
    const steps = decoding.length > 0 ? this.spec.stepsPerPass : 1;
    const stepMs = this.#getStepMs(decoding);
    let ms = 0;
    const prefilled: RunningJob[] = [];
    for (let step = 0; step < steps; step++) {
      ms += stepMs + this.#prefillChunk(prefilled);
    }
    this.#cancelPass = this.#clock.setTimer(() => {
      this.#cancelPass = undefined;
      this.#endPass(decoding, prefilled);
    }, ms * this.pace);
  }

  #hasWork(): boolean {
    return [...this.#jobs.values()].some(
      (job) => job.hasMemory && (!job.isPrefilled || job.mayDecode),
    );
  }

  #getStepMs(decoding: readonly RunningJob[]): number {
    const { stepMs, stepMsPerSequence, stepMsPerThousandContext, hopMs } = this.spec;
    const context = decoding.reduce((sum, job) => sum + job.partTokens + job.decoded, 0);
    const hops = decoding.some(({ members }) => members > 1) ? hopMs : 0;
    return (
      stepMs +
      decoding.length * stepMsPerSequence +
      (context / TOKENS_PER_THOUSAND) * stepMsPerThousandContext +
      hops
    );
  }

  /**
   * Prefills up to one chunk, first for helper jobs, then by urgency, and returns the time in
   * milliseconds. Adds the jobs whose prefill ends to `prefilled`.
   */
  #prefillChunk(prefilled: RunningJob[]): number {
    let left = this.spec.chunkTokens;
    let ms = 0;
    const queue = [...this.#jobs.values()]
      .filter(({ prefillLeft, hasMemory }) => prefillLeft > 0 && hasMemory)
      .sort((a, b) => Number(b.isHelper) - Number(a.isHelper) || a.urgency - b.urgency);
    for (const job of queue) {
      const tokens = Math.min(left, job.prefillLeft);
      left -= tokens;
      job.prefillLeft -= tokens;
      ms += tokens * this.#getPrefillMsPerToken(job);
      if (job.prefillLeft <= 0) {
        prefilled.push(job);
      }
    }
    return ms;
  }

  #getPrefillMsPerToken({ promptTokens, partTokens, members }: RunningJob): number {
    const pairs = (promptTokens * promptTokens) / 2 / members / PAIRS_PER_MILLION;
    return 1 / this.spec.readTokensPerMs + (pairs * this.spec.msPerMillionPairs) / partTokens;
  }

  #endPass(decoding: readonly RunningJob[], prefilled: readonly RunningJob[]): void {
    for (const job of prefilled) {
      if (this.#jobs.has(job.id)) {
        job.isPrefilled = true;
        if (job.isHelper) {
          this.#jobs.delete(job.id);
        }
        job.onPrefilled();
      }
    }
    for (const job of decoding) {
      if (this.#jobs.has(job.id) && job.isPrefilled) {
        this.#decode(job);
      }
    }
    this.#startQueued();
    this.#readmit();
  }

  #decode(job: RunningJob): void {
    job.decoded = Math.min(job.outputTokens, job.decoded + this.spec.stepsPerPass);
    const isLast = job.decoded >= job.outputTokens;
    if (isLast) {
      this.#jobs.delete(job.id);
    }
    job.onTokens(job.decoded, isLast);
  }
}
