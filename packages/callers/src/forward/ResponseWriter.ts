import type { ServerResponse } from "node:http";

import type { AnswerWriter, HeaderList, UpstreamCall } from "@lycheepulley/forwarding";

import type { HeldMemory, HeldRequest } from "./HeldMemory.js";
import { resetOnClose } from "./resetOnClose.js";

const MS_PER_S = 1_000;

/** True when the headers, names and values by turns, declare the length of the body. */
const hasLength = (headers: HeaderList): boolean =>
  headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");

/** Writes an answer to a caller, an upstream's or one of this process itself. */
export class ResponseWriter implements AnswerWriter {
  readonly #res: ServerResponse;
  readonly #isClosing: () => boolean;
  readonly #memory: HeldMemory;
  readonly #held: HeldRequest;
  #isLastAnswer = false;
  /** Callers of HTTP/1.0 take no chunks: only a reset tells them that an answer isn't complete. */
  #isUnframed = false;

  constructor(
    res: ServerResponse,
    options: { getRequestId: () => string; memory: HeldMemory; isClosing: () => boolean },
  ) {
    this.#res = res;
    this.#isClosing = options.isClosing;
    this.#memory = options.memory;
    this.#held = options.memory.start({
      get requestId() {
        return options.getRequestId();
      },
      get unreadBytes() {
        return res.writableLength;
      },
      end: (isUpstream) => {
        this.#endSlow(isUpstream);
      },
    });
    res.once("close", () => {
      this.#memory.end(this.#held);
    });
  }

  #endSlow(isUpstream: boolean): void {
    if (isUpstream && !this.isHeadSent) {
      this.closeAfterAnswer();
      this.sendOwn(502, "may have run: its upstream reads too slowly");
    } else {
      this.abort();
    }
  }

  /** Counts a part of the request's body; false when there is no memory for it. */
  addBody(bytes: number): boolean {
    this.#held.addBody(bytes);
    return this.#memory.makeRoom();
  }

  onSend(call: UpstreamCall): void {
    this.#held.setCall(call);
  }

  collect(bytes: number): boolean {
    this.#held.collect(bytes);
    return bytes <= 0 || this.#memory.makeRoom();
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

  sendHead(status: number, headers: HeaderList): void {
    if (this.isClosed || this.isHeadSent) {
      return;
    }
    this.#res.writeHead(status, [...headers, ...this.#newConnectionHeader()]);
    this.#isUnframed = !this.#res.chunkedEncoding && !hasLength(headers);
  }

  write(chunk: Buffer): boolean {
    if (this.isClosed || chunk.length === 0) {
      return true;
    }
    const isTaken = this.#res.write(chunk);
    const mayGoOn = this.#held.write();
    // An upstream cuts an answer that it can't write for some seconds, so it is paused late.
    return this.#memory.makeRoom() && (isTaken || mayGoOn);
  }

  onDrain(fn: () => void): void {
    if (this.#res.writableNeedDrain) {
      this.#res.once("drain", fn);
    } else {
      setImmediate(fn);
    }
  }

  end(): void {
    if (!this.isClosed) {
      this.#res.end();
    }
  }

  abort(): void {
    const { socket } = this.#res;
    if (this.#isUnframed && socket) {
      resetOnClose(socket);
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
