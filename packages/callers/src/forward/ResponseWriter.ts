import type { ServerResponse } from "node:http";

import type { AnswerWriter, HeaderList } from "@lycheepulley/forwarding";

const MS_PER_S = 1_000;

/** Writes an answer to a caller, an upstream's or one of this process itself. */
export class ResponseWriter implements AnswerWriter {
  readonly #res: ServerResponse;
  readonly #isClosing: () => boolean;
  #isLastAnswer = false;
  /** Only a reset tells a caller that such an answer isn't complete. */
  #isUnframed = false;

  constructor(res: ServerResponse, options: { isClosing: () => boolean }) {
    this.#res = res;
    this.#isClosing = options.isClosing;
  }

  get isHeadSent(): boolean {
    return this.#res.headersSent;
  }

  /** True once the response has ended or its connection is gone. */
  get isClosed(): boolean {
    return this.#res.destroyed || this.#res.writableEnded;
  }

  /** Closes the caller's connection after the answer. */
  closeAfterAnswer(): void {
    this.#isLastAnswer = true;
  }

  sendHead(status: number, headers: HeaderList, isFramed: boolean): void {
    if (this.isClosed || this.isHeadSent) {
      return;
    }
    if (!isFramed) {
      this.#isLastAnswer = true;
      this.#isUnframed = true;
      this.#res.useChunkedEncodingByDefault = false;
    }
    this.#res.writeHead(status, [...headers, ...this.#newConnectionHeader()]);
  }

  write(chunk: Buffer): boolean {
    if (this.isClosed || chunk.length === 0) {
      return true;
    }
    return this.#res.write(chunk);
  }

  onDrain(fn: () => void): void {
    this.#res.once("drain", fn);
  }

  end(): void {
    if (!this.isClosed) {
      this.#res.end();
    }
  }

  abort(): void {
    const { socket } = this.#res;
    if (this.#isUnframed && socket) {
      // `resetAndDestroy` sends a FIN before the reset, which looks like the end of the answer.
      Object.assign(socket, { resetAndClosing: true });
    }
    this.#res.destroy();
  }

  sendOwn(status: number, message: string, retryAfterMs?: number): void {
    if (this.isClosed) {
      return;
    }
    if (this.isHeadSent) {
      this.abort();
      return;
    }
    const body = JSON.stringify({ error: { message } });
    const retryAfter =
      retryAfterMs === undefined ? [] : ["Retry-After", String(retryAfterMs / MS_PER_S)];
    this.#res.writeHead(status, [
      ...["Content-Type", "application/json"],
      ...["Content-Length", String(Buffer.byteLength(body))],
      ...retryAfter,
      ...this.#newConnectionHeader(),
    ]);
    this.#res.end(body);
  }

  #newConnectionHeader(): string[] {
    return this.#isLastAnswer || this.#isClosing() ? ["Connection", "close"] : [];
  }
}
