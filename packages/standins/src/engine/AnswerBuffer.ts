/** A token of an answer with its sequence number. */
export interface AnswerToken {
  readonly seq: number;
  readonly text: string;
  readonly finishReason: string | undefined;
}

/** Buffers the tokens of one answer, so that readers can start or resume at any of them. */
export class AnswerBuffer {
  readonly #tokens: AnswerToken[] = [];
  readonly #firstSeq: number;
  readonly #listeners = new Set<(token: AnswerToken) => void>();

  constructor(fromSeq: number) {
    this.#firstSeq = fromSeq;
  }

  get isFinished(): boolean {
    return this.#tokens.at(-1)?.finishReason !== undefined;
  }

  /** Appends a token and passes it to all subscribers. */
  push(token: AnswerToken): void {
    this.#tokens.push(token);
    this.#listeners.forEach((listener) => {
      listener(token);
    });
  }

  /** Calls `listener` with every token from `fromSeq` on; returns a function that unsubscribes. */
  subscribe(fromSeq: number, listener: (token: AnswerToken) => void): () => void {
    this.#tokens.slice(Math.max(0, fromSeq - this.#firstSeq)).forEach(listener);
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
