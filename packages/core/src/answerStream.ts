/** One piece of an answer on its way from an engine. */
export interface AnswerChunk {
  /** Attempt that produced the chunk. */
  readonly attemptId: string;
  /** Position in the answer, from 0; equal positions carry equal text. */
  readonly seq: number;
  readonly text: string;
  /** Set on the chunk that ends the answer. */
  readonly finishReason: string | undefined;
}

/** Most out-of-order chunks held for one answer. */
export const MAX_HELD_CHUNKS = 1_024;

/**
 * Puts the chunks of one answer in order. Chunks of an attempt that is no
 * longer current and repeated positions are dropped; the answer is whole only
 * when every position up to its end marker has been released.
 */
export class AnswerAssembler {
  readonly #held = new Map<number, AnswerChunk>();
  readonly #checkAttempt: boolean;
  #attemptId = "";
  #nextSeq = 0;
  #finishReason: string | undefined;

  constructor(options: { checkAttempt?: boolean } = {}) {
    this.#checkAttempt = options.checkAttempt ?? true;
  }

  /** Position of the next chunk to release; a resumed attempt starts here. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** Set once the answer is whole. */
  get finishReason(): string | undefined {
    return this.#finishReason;
  }

  /** Makes `attemptId` the only attempt whose chunks count. */
  beginAttempt(attemptId: string): void {
    this.#attemptId = attemptId;
    this.#held.clear();
  }

  /** Takes a chunk and returns those that are now due, in order. */
  push(chunk: AnswerChunk): AnswerChunk[] {
    const stale = this.#checkAttempt && chunk.attemptId !== this.#attemptId;
    if (stale || this.#finishReason !== undefined || chunk.seq < this.#nextSeq) {
      return [];
    }
    if (this.#held.size >= MAX_HELD_CHUNKS && chunk.seq !== this.#nextSeq) {
      throw new RangeError(`more than ${String(MAX_HELD_CHUNKS)} chunks out of order`);
    }
    this.#held.set(chunk.seq, chunk);
    return this.#releaseDue();
  }

  #releaseDue(): AnswerChunk[] {
    const due: AnswerChunk[] = [];
    let next = this.#held.get(this.#nextSeq);
    while (next && this.#finishReason === undefined) {
      this.#held.delete(this.#nextSeq);
      this.#nextSeq += 1;
      this.#finishReason = next.finishReason;
      due.push(next);
      next = this.#held.get(this.#nextSeq);
    }
    return due;
  }
}
