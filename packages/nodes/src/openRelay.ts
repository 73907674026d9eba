import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { Duplex } from "node:stream";

import {
  AnswerEnd,
  Closing,
  Framing,
  getFraming,
  newEndReport,
  toTimerMs,
  type EndReport,
} from "@lycheepulley/core";
import { findInvalidHead } from "@lycheepulley/http";

import {
  RELAY_HOST_HEADER,
  RELAY_PATH,
  RELAY_PORT_HEADER,
  RELAY_TIMEOUT_HEADER,
  type RelayTarget,
} from "./RelayServer.js";

/** Time for the way to the peer and back, besides its own connection. */
const EXTRA_TIMEOUT_MS = 100;

const METHOD = "POST";
const OPENED_STATUS = 200;
const NO_CONNECTION_STATUS = 502;

/** A peer didn't relay a connection. */
export class RelayError extends Error {
  /** `hasTried` tells that the peer couldn't connect to the target itself. */
  constructor(
    message: string,
    readonly hasTried: boolean,
  ) {
    super(message);
    this.name = "RelayError";
  }
}

/** Tells how a peer's answer ends, which the end of its connection doesn't show. */
const getReport = ({ statusCode = 0, headers, complete }: IncomingMessage): EndReport =>
  newEndReport({
    framing: getFraming(METHOD, { status: statusCode, headers }),
    closing: Closing.Unknown,
    isComplete: complete,
  });

/** True for the answer of a peer that relays; a length would end it before the target does. */
const isRelay = (res: IncomingMessage): boolean =>
  res.statusCode === OPENED_STATUS && getReport(res).framing === Framing.Chunks;

/** A connection through a peer; errors when the peer ends before the target does. */
class RelayedConnection extends Duplex {
  readonly #req: ClientRequest;
  readonly #res: IncomingMessage;

  constructor(req: ClientRequest, res: IncomingMessage) {
    super();
    this.#req = req;
    this.#res = res;
    // Behind this turn, in which nobody can listen to the connection yet.
    const fail = (err: Error): void => {
      // Not as it is: its code would tell of the target's answer, which has a parser of its own.
      const broken = new Error(`relay broke: ${err.message}`, { cause: err });
      setImmediate(() => this.destroy(broken));
    };
    req.on("error", fail);
    res.on("error", fail);
    res.on("data", (chunk: Buffer) => {
      if (!this.push(chunk)) {
        res.pause();
      }
    });
    res.on("end", () => {
      if (getReport(res).end === AnswerEnd.Whole) {
        this.push(null);
      } else {
        fail(new Error("cut"));
      }
    });
    res.pause();
  }

  override _read(): void {
    this.#res.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: (err?: Error | null) => void,
  ): void {
    this.#req.write(chunk, done);
  }

  override _final(done: () => void): void {
    this.#req.end(done);
  }

  override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
    this.#req.destroy();
    done(err);
  }
}

/** Opens a connection to `target` through a peer; rejects with a {@link RelayError}. */
export const openRelay = (
  peer: { readonly host: string; readonly port: number },
  { host, port, timeoutMs }: RelayTarget,
): Promise<Duplex> =>
  new Promise((resolve, reject) => {
    const req = request({
      ...{ host: peer.host, port: peer.port, method: METHOD, path: RELAY_PATH, agent: false },
      insecureHTTPParser: false,
      headers: {
        [RELAY_HOST_HEADER]: host,
        [RELAY_PORT_HEADER]: String(port),
        [RELAY_TIMEOUT_HEADER]: String(timeoutMs),
        "transfer-encoding": "chunked",
      },
    });
    const fail = (reason: string, hasTried = false): void => {
      clearTimeout(timer);
      req.destroy();
      reject(new RelayError(`${reason} through ${peer.host}`, hasTried));
    };
    const timer = setTimeout(
      () => {
        fail("no connection in time");
      },
      toTimerMs(timeoutMs + EXTRA_TIMEOUT_MS),
    );
    req.setNoDelay(true);
    req.on("error", (err) => {
      fail(err.message);
    });
    req.on("response", (res) => {
      const invalid = findInvalidHead(res);
      if (invalid) {
        fail(invalid.message);
      } else if (isRelay(res)) {
        clearTimeout(timer);
        resolve(new RelayedConnection(req, res));
      } else {
        const hasTried = res.statusCode === NO_CONNECTION_STATUS;
        fail(hasTried ? "no connection" : "not relayed", hasTried);
      }
    });
    req.flushHeaders();
  });
