/** One token of an answer as kept for resuming. */
export interface AnswerToken {
  readonly seq: number;
  readonly text: string;
  readonly finishReason: string | undefined;
}

/** Tokens of one stream; readers follow it from any position. */
export class AnswerBuffer {
  readonly #tokens: AnswerToken[] = [];
  readonly #fromSeq: number;
  readonly #listeners = new Set<(token: AnswerToken) => void>();

  constructor(fromSeq: number) {
    this.#fromSeq = fromSeq;
  }

  get isFinished(): boolean {
    return this.#tokens.at(-1)?.finishReason !== undefined;
  }

  push(token: AnswerToken): void {
    this.#tokens.push(token);
    this.#listeners.forEach((listener) => {
      listener(token);
    });
  }

  /** Calls `listener` with every token from `fromSeq`; returns the way to stop. */
  subscribe(fromSeq: number, listener: (token: AnswerToken) => void): () => void {
    this.#tokens.slice(Math.max(0, fromSeq - this.#fromSeq)).forEach(listener);
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
