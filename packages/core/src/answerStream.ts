/** One chunk of an answer that an engine streams. */
export interface AnswerChunk {
  /** Attempt that produced the chunk. */
  readonly attemptId: string;
  /** Position in the answer, from 0; chunks at the same position have the same text. */
  readonly seq: number;
  readonly text: string;
  /** Set on the chunk that ends the answer. */
  readonly finishReason: string | undefined;
}

/** Maximum number of out-of-order chunks buffered for one answer. */
export const MAX_HELD_CHUNKS = 1_024;

/**
 * Reorders the chunks of one answer. Drops repeated positions and chunks that
 * don't belong to the current attempt. The answer is complete only when every
 * position up to its end marker has been released.
 */
export class AnswerAssembler {
  readonly #buffered = new Map<number, AnswerChunk>();
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

  /** Set once the answer is complete. */
  get finishReason(): string | undefined {
    return this.#finishReason;
  }

  /** Starts an attempt; chunks of all other attempts are dropped. */
  beginAttempt(attemptId: string): void {
    this.#attemptId = attemptId;
    this.#buffered.clear();
  }

  /** Adds a chunk and returns the chunks that are now next in order. */
  push(chunk: AnswerChunk): AnswerChunk[] {
    const stale = this.#checkAttempt && chunk.attemptId !== this.#attemptId;
    if (stale || this.#finishReason !== undefined || chunk.seq < this.#nextSeq) {
      return [];
    }
    if (this.#buffered.size >= MAX_HELD_CHUNKS && chunk.seq !== this.#nextSeq) {
      throw new RangeError(`more than ${String(MAX_HELD_CHUNKS)} chunks out of order`);
    }
    this.#buffered.set(chunk.seq, chunk);
    return this.#releaseInOrder();
  }

  #releaseInOrder(): AnswerChunk[] {
    const released: AnswerChunk[] = [];
    let next = this.#buffered.get(this.#nextSeq);
    while (next && this.#finishReason === undefined) {
      this.#buffered.delete(this.#nextSeq);
      this.#nextSeq += 1;
      this.#finishReason = next.finishReason;
      released.push(next);
      next = this.#buffered.get(this.#nextSeq);
    }
    return released;
  }
}
