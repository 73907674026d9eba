import { AnswerEnd, PeerError } from "@lycheepulley/core";
import type { Dispatcher } from "undici";

import { MAX_ERROR_BYTES } from "./readBytes.js";
import { getReadEnd, UNKNOWN_END } from "./readEnd.js";

interface StreamPeer {
  readonly name: string;
  /** Converts an error of the transport. */
  toPeerError(err: unknown): PeerError;
}

interface StreamHandlerOptions {
  readonly onData: (bytes: Buffer) => void;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
  readonly signal: AbortSignal | undefined;
  readonly method: Dispatcher.HttpMethod;
  readonly hasEndMarker: boolean;
}

const HTTP_OK = 200;
const MAX_ERROR_TEXT_LENGTH = 200;

/** Passes on the body of one streamed response without buffering it. */
export class StreamHandler implements Dispatcher.DispatchHandler {
  readonly #peer: StreamPeer;
  readonly #options: StreamHandlerOptions;
  #errorText = "";
  #errorBytes = 0;
  #status = 0;
  #isEndKnown = false;
  #controller: Dispatcher.DispatchController | undefined;

  constructor(peer: StreamPeer, options: StreamHandlerOptions) {
    this.#peer = peer;
    this.#options = options;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const { signal } = this.#options;
    this.#controller = controller;
    if (signal?.aborted) {
      this.#onAbort();
    } else {
      signal?.addEventListener("abort", this.#onAbort);
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Dispatcher.ResponseData["headers"],
  ): void {
    const { method, hasEndMarker } = this.#options;
    this.#status = statusCode;
    const end = getReadEnd(method, { statusCode, headers });
    this.#isEndKnown = hasEndMarker || end === AnswerEnd.Whole;
  }

  onResponseData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    if (this.#status !== HTTP_OK) {
      this.#handleErrorData(controller, bytes);
      return;
    }
    try {
      this.#options.onData(bytes);
    } catch (err) {
      controller.abort(this.#peer.toPeerError(err));
    }
  }

  /** Ends a response with an error status whose body is long and may have no end. */
  #handleErrorData(controller: Dispatcher.DispatchController, bytes: Buffer): void {
    this.#errorBytes += bytes.length;
    if (this.#errorText.length < MAX_ERROR_TEXT_LENGTH) {
      this.#errorText += bytes.toString().slice(0, MAX_ERROR_TEXT_LENGTH);
    }
    if (this.#errorBytes > MAX_ERROR_BYTES) {
      controller.abort(this.#newStatusError());
    }
  }

  #newStatusError(): PeerError {
    const text = this.#errorText.slice(0, MAX_ERROR_TEXT_LENGTH);
    const message = `status ${String(this.#status)}: ${text}`;
    return new PeerError(this.#peer.name, message, { sent: true, status: this.#status });
  }

  onResponseEnd(): void {
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
    if (this.#status !== HTTP_OK) {
      this.#options.reject(this.#newStatusError());
    } else if (this.#isEndKnown) {
      this.#options.resolve();
    } else {
      this.#options.reject(new PeerError(this.#peer.name, UNKNOWN_END, { sent: true }));
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this.#options.signal?.removeEventListener("abort", this.#onAbort);
    this.#options.reject(this.#peer.toPeerError(err));
  }

  readonly #onAbort = (): void => {
    const reason: unknown = this.#options.signal?.reason;
    const cancelled = new PeerError(this.#peer.name, "cancelled", { sent: true, cause: reason });
    this.#controller?.abort(cancelled);
  };
}
