/** Chunks that an answer may have for each token, and others: roles, usage, an end. */
const CHUNKS_PER_TOKEN = 4;
const MIN_CHUNKS = 64;
/** Bytes of a stream for each token, with the likely other ones, and of what comes besides. */
const BYTES_PER_TOKEN = 4_096;
const MIN_BYTES = 1_048_576;
/** Tokens of an answer whose request names no most. */
const DEFAULT_MAX_TOKENS = 16_384;

/** Bounds the stream of one answer by the most tokens that its request asks for. */
export class AnswerLimit {
  #leftChunks: number;
  #leftBytes: number;

  constructor(maxTokens = DEFAULT_MAX_TOKENS) {
    this.#leftChunks = MIN_CHUNKS + CHUNKS_PER_TOKEN * maxTokens;
    this.#leftBytes = MIN_BYTES + BYTES_PER_TOKEN * maxTokens;
  }

  /** Counts bytes of the stream; false when they are more than its answer can need. */
  addBytes(bytes: number): boolean {
    this.#leftBytes -= bytes;
    return this.#leftBytes >= 0;
  }

  /** Counts a chunk of the answer; false when there are more than its answer can have. */
  addChunk(): boolean {
    this.#leftChunks -= 1;
    return this.#leftChunks >= 0;
  }
}
