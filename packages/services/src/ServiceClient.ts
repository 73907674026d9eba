import { isUtf8 } from "node:buffer";

import { AnswerEnd, PeerError } from "@lycheepulley/core";
import { getReadEnd, HttpPeer, readBytes, UNKNOWN_END } from "@lycheepulley/http";

/** Longest body of an answer, which is kept until it is whole. */
const MAX_ANSWER_BYTES = 33_554_432;
const TOO_LONG = `answer over ${String(MAX_ANSWER_BYTES)} bytes`;
const NO_TEXT = "answer with bytes that are no UTF-8";

/** Parameters of one call to a plain service. */
export interface ServiceCall {
  readonly method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
  /** Path and query, relative to the service's origin. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Called once the request may have been sent, at least in part. */
  readonly onSend?: () => void;
}

/** Response of a plain service, with its body as text. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Client of one instance of a plain service. */
export interface ServiceClient {
  readonly name: string;
  /**
   * Calls the service; rejects with a PeerError that says whether bytes were sent. An answer of unknown end, or
   * that is too long or no text, is rejected with its status.
   */
  call(call: ServiceCall): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

/** Client of a plain service over HTTP. */
export class HttpServiceClient implements ServiceClient {
  readonly name: string;
  readonly #peer: HttpPeer;

  constructor(options: { name: string; origin: string }) {
    this.name = options.name;
    this.#peer = new HttpPeer({ ...options, kind: "service", reusesConnections: false });
  }

  async call(call: ServiceCall): Promise<ServiceAnswer> {
    call.onSend?.();
    const { method, path, headers, body, timeoutMs, signal } = call;
    const res = await this.#peer.open(path, { method, headers, body, timeoutMs, signal });
    try {
      const contentType = res.headers["content-type"];
      const { bytes, isWhole } = await readBytes(res.body, MAX_ANSWER_BYTES);
      if (!isWhole) {
        throw new PeerError(this.name, TOO_LONG, { sent: true, status: res.statusCode });
      }
      const answer = {
        status: res.statusCode,
        contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
        body: bytes.toString(),
      };
      // Neither an orderly end nor that the service lives tells a whole answer from a part.
      if (getReadEnd(method, res) !== AnswerEnd.Whole) {
        throw new PeerError(this.name, UNKNOWN_END, { sent: true, status: res.statusCode });
      }
      if (!isUtf8(bytes)) {
        throw new PeerError(this.name, NO_TEXT, { sent: true, status: res.statusCode });
      }
      return answer;
    } catch (err) {
      throw this.#peer.toPeerError(err);
    }
  }

  close(): Promise<void> {
    return this.#peer.close();
  }
}
