import { ByteCollector } from "@lycheepulley/core";

import type { AnswerWriter } from "./types.js";

/** Answers up to this size are buffered until they are complete, so that a broken one can be retried. */
export const MAX_BUFFERED_BYTES = 1_048_576;

/** Bytes of an answer that are kept until it is known whether the caller gets them. */
export class AnswerBuffer {
  readonly #writer: AnswerWriter;
  readonly #bytes = new ByteCollector();

  constructor(writer: AnswerWriter) {
    this.#writer = writer;
  }

  get bytes(): number {
    return this.#bytes.size;
  }

  /** False when there is no memory for more. */
  add(chunk: Buffer): boolean {
    this.#bytes.add(chunk);
    return this.#writer.collect?.(chunk.length) ?? true;
  }

  /** Empties the buffer. */
  take(): Buffer {
    this.#writer.collect?.(-this.#bytes.size);
    return this.#bytes.take();
  }
}
