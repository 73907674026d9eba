import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";

import {
  AnswerFault,
  ByteCollector,
  Closing,
  FloodError,
  getFraming,
  newEndReport,
  ReadBudget,
  SystemClock,
  type EndReport,
  type Framing,
} from "@lycheepulley/core";
import {
  SendState,
  type CallObserver,
  type Connector,
  type UpstreamCall,
  type UpstreamTransport,
} from "@lycheepulley/forwarding";
import {
  ConnectionEnd,
  findInvalidHead,
  findOverhead,
  InvalidHeadError,
  OverheadError,
} from "@lycheepulley/http";

import { PacedConnection } from "./PacedConnection.js";
import { ReadTurns } from "./ReadTurns.js";
import { TcpConnector } from "./TcpConnector.js";

const CLOCK = new SystemClock();

type OpenRequest = Parameters<UpstreamTransport["open"]>[0];

/** One request to an upstream, on its own connection. */
class HttpUpstreamCall implements UpstreamCall {
  readonly #observer: CallObserver;
  readonly #method: string;
  readonly #turns: ReadTurns;
  readonly #budget = new ReadBudget();
  #socket: Duplex | undefined;
  #connectionEnd: ConnectionEnd | undefined;
  #paced: PacedConnection | undefined;
  /** Pieces of the body in the slice that is being read. */
  readonly #pieces = new ByteCollector();
  #chunks = 0;
  #req: ClientRequest | undefined;
  #res: IncomingMessage | undefined;
  #state: SendState = SendState.Unsent;
  #isClosed = false;
  #receivedBytes = 0;
  #bodyBytes = 0;

  constructor(
    { connector, turns }: { connector: Connector; turns: ReadTurns },
    options: OpenRequest,
    observer: CallObserver,
  ) {
    this.#observer = observer;
    this.#turns = turns;
    this.#method = options.method;
    connector.connect(options, options.connectTimeoutMs).then(
      (socket) => {
        const confirmed = options.confirm?.();
        if (confirmed) {
          this.#sendOnceConfirmed(socket, options, confirmed);
        } else {
          this.#send(socket, options);
        }
      },
      (err: unknown) => {
        this.#fail(err instanceof Error ? err : new Error(String(err)));
      },
    );
  }

  /** Sends nothing on a connection that ends before. */
  #sendOnceConfirmed(socket: Duplex, options: OpenRequest, confirmed: Promise<void>): void {
    this.#socket = socket;
    if (this.#isClosed) {
      socket.destroy();
      return;
    }
    const failUnsent = (err: Error): void => {
      if (this.#state === SendState.Unsent) {
        this.#fail(err);
      }
    };
    socket.on("error", failUnsent);
    socket.on("close", () => {
      failUnsent(new Error("connection closed"));
    });
    void confirmed.then(() => {
      this.#send(socket, options);
    });
  }

  /** Sends the request on an open connection. */
  #send(socket: Duplex, options: OpenRequest): void {
    if (this.#isClosed) {
      socket.destroy();
      return;
    }
    this.#state = SendState.Sent;
    this.#socket = socket;
    this.#connectionEnd = new ConnectionEnd(socket);
    const paced = new PacedConnection(socket, {
      ...{ turns: this.#turns, clock: CLOCK },
      onSlice: () => {
        this.#handOn();
      },
    });
    this.#paced = paced;
    const { host, port, method, path, headers } = options;
    const req = request({
      ...{ host, port, method, path, headers, insecureHTTPParser: false },
      createConnection: () => paced,
    });
    this.#req = req;
    this.#observe(req);
    req.on("socket", () => {
      paced.on("data", (data: Buffer) => {
        this.#countReceived(data.length);
      });
    });
    req.end(options.body);
  }

  get unsentBytes(): number {
    // Before it has its socket, the request keeps what is written to it.
    return Math.max(this.#socket?.writableLength ?? 0, this.#req?.writableLength ?? 0);
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
      if (!this.#isClosed) {
        this.#failUnlessComplete(new Error("connection closed"));
      }
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
    const invalid = findInvalidHead(res);
    if (invalid) {
      this.#fail(invalid);
      return;
    }
    const { statusCode: status = 0, rawHeaders: headers } = res;
    this.#observer.onHead({ status, headers, framing: this.#getFraming(res) });
    res.on("data", (chunk: Buffer) => {
      this.#handleData(chunk);
    });
    res.on("end", () => {
      if (!this.#isClosed && res.complete) {
        this.#close();
        this.#observer.onEnd(this.#newEndReport(res));
      } else {
        this.#fail(new Error("answer cut"));
      }
    });
  }

  #handleData(chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    if (this.#isClosed) {
      return;
    }
    if (!this.#budget.spend(chunk.length)) {
      this.#pieces.take();
      this.#fail(new FloodError(this.#budget.cost));
      return;
    }
    this.#pieces.add(chunk);
    this.#chunks += 1;
    if (!this.#paced?.isHandingOn) {
      this.#handOn();
    }
  }

  /** Hands on the pieces of a slice as one: what follows costs as much for a tiny piece as for a large one. */
  #handOn(): void {
    const bytes = this.#pieces.take();
    if (bytes.length > 0 && !this.#isClosed) {
      const chunks = this.#chunks;
      this.#chunks = 0;
      this.#observer.onData(bytes, chunks);
    }
  }

  #getFraming({ statusCode = 0, headers }: IncomingMessage): Framing {
    return getFraming(this.#method, { status: statusCode, headers });
  }

  #newEndReport(res: IncomingMessage): EndReport {
    return newEndReport({
      framing: this.#getFraming(res),
      closing: this.#connectionEnd?.closing ?? Closing.Unknown,
      isComplete: res.complete,
    });
  }

  /** Tells an answer that can't be read from a connection that broke. */
  #getFault(err: Error): AnswerFault | undefined {
    if (err instanceof InvalidHeadError) {
      return AnswerFault.Head;
    }
    if (err instanceof FloodError) {
      return AnswerFault.Flood;
    }
    const isInvalid =
      err instanceof OverheadError || ("code" in err && String(err.code).startsWith("HPE_"));
    return isInvalid ? (this.#res ? AnswerFault.Framing : AnswerFault.Head) : undefined;
  }

  /** Ends an answer that consists of little but framing. */
  #countReceived(bytes: number): void {
    this.#receivedBytes += bytes;
    const parsedBytes = this.#receivedBytes - (this.#res?.readableLength ?? 0);
    const err = findOverhead(parsedBytes, this.#bodyBytes);
    if (err) {
      this.#failUnlessComplete(err);
    }
  }

  /** A complete answer is still read to its end, whatever comes behind it on the connection. */
  #failUnlessComplete(err: Error): void {
    if (!this.#res?.complete) {
      this.#fail(err);
    }
  }

  #fail(err: Error): void {
    this.#handOn();
    if (this.#isClosed) {
      return;
    }
    this.#close();
    this.#observer.onError(this.#state, err, this.#getFault(err));
  }

  #close(): void {
    this.#isClosed = true;
    this.#req?.destroy();
    // A request that has ended leaves its connection half open.
    this.#socket?.destroy();
  }
}

/** Sends each request to an upstream on a new connection, which is closed after the answer. */
export class HttpUpstreamTransport implements UpstreamTransport {
  readonly #connector: Connector;
  readonly #turns = new ReadTurns(CLOCK);

  constructor(connector: Connector = new TcpConnector()) {
    this.#connector = connector;
  }

  open(options: OpenRequest, observer: CallObserver): UpstreamCall {
    return new HttpUpstreamCall(
      { connector: this.#connector, turns: this.#turns },
      options,
      observer,
    );
  }
}
