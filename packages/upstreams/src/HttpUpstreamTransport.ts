import { toTimerMs } from "@lycheepulley/core";
import { request, type ClientRequest, type IncomingMessage } from "node:http";

import {
  SendState,
  type CallObserver,
  type UpstreamCall,
  type UpstreamTransport,
} from "@lycheepulley/forwarding";

/**
 * Bytes of an answer that aren't its body: heads, interim answers, framing. The parser limits single
 * heads, but takes empty lines, interim answers and digits of a chunk's length without end.
 */
const MAX_OVERHEAD_BYTES = 65_536;
/** Framing allowed for each byte of body, which tiny chunks need. */
const OVERHEAD_PER_BODY_BYTE = 16;

type OpenRequest = Parameters<UpstreamTransport["open"]>[0];

/** One request to an upstream, on its own connection. */
class HttpUpstreamCall implements UpstreamCall {
  readonly #observer: CallObserver;
  readonly #req: ClientRequest;
  #res: IncomingMessage | undefined;
  #state: SendState = SendState.Unsent;
  #isClosed = false;
  #receivedBytes = 0;
  #bodyBytes = 0;
  readonly #connectTimer: NodeJS.Timeout;

  constructor(options: OpenRequest, observer: CallObserver) {
    this.#observer = observer;
    this.#connectTimer = setTimeout(() => {
      this.#fail(new Error(`no connection within ${String(options.connectTimeoutMs)} ms`));
    }, toTimerMs(options.connectTimeoutMs));
    this.#req = request({
      host: options.host,
      port: options.port,
      method: options.method,
      path: options.path,
      headers: options.headers,
      agent: false,
    });
    this.#observe(this.#req);
    // Nothing is written before the connection is open: an earlier error means that nothing was sent.
    this.#req.on("socket", (socket) => {
      socket.setNoDelay(true);
      socket.on("data", (data: Buffer) => {
        this.#countReceived(data.length);
      });
      socket.once("connect", () => {
        clearTimeout(this.#connectTimer);
        if (!this.#isClosed) {
          this.#state = SendState.Sent;
          this.#req.end(options.body);
        }
      });
    });
  }

  pause(): void {
    this.#res?.pause();
  }

  resume(): void {
    this.#res?.resume();
  }

  abort(): void {
    this.#close();
  }

  #observe(req: ClientRequest): void {
    req.on("error", (err) => {
      this.#failUnlessComplete(err);
    });
    req.on("close", () => {
      this.#failUnlessComplete(new Error("connection closed"));
    });
    req.on("response", (res) => {
      this.#observeAnswer(res);
    });
  }

  #observeAnswer(res: IncomingMessage): void {
    this.#res = res;
    res.on("error", (err) => {
      this.#fail(err);
    });
    if (this.#isClosed) {
      return;
    }
    this.#observer.onHead({ status: res.statusCode ?? 0, headers: res.rawHeaders });
    res.on("data", (chunk: Buffer) => {
      this.#bodyBytes += chunk.length;
      if (!this.#isClosed) {
        this.#observer.onData(chunk);
      }
    });
    res.on("end", () => {
      if (!this.#isClosed && res.complete) {
        this.#close();
        this.#observer.onEnd();
      } else {
        this.#fail(new Error("answer cut"));
      }
    });
  }

  /** Ends an answer that consists of little but framing. */
  #countReceived(bytes: number): void {
    this.#receivedBytes += bytes;
    const overheadBytes = this.#receivedBytes - this.#bodyBytes - (this.#res?.readableLength ?? 0);
    if (overheadBytes > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.#bodyBytes) {
      this.#failUnlessComplete(new Error(`${String(overheadBytes)} bytes that are no body`));
    }
  }

  /** A complete answer is still read to its end, whatever comes behind it on the connection. */
  #failUnlessComplete(err: Error): void {
    if (!this.#res?.complete) {
      this.#fail(err);
    }
  }

  #fail(err: Error): void {
    if (this.#isClosed) {
      return;
    }
    this.#close();
    this.#observer.onError(this.#state, err);
  }

  #close(): void {
    this.#isClosed = true;
    clearTimeout(this.#connectTimer);
    this.#req.destroy();
  }
}

/** Sends each request to an upstream on a new connection, which is closed after the answer. */
export class HttpUpstreamTransport implements UpstreamTransport {
  open(options: OpenRequest, observer: CallObserver): UpstreamCall {
    return new HttpUpstreamCall(options, observer);
  }
}
