import { AnswerEnd, getMessage, PeerError, toTimerMs, type TrafficMeter } from "@lycheepulley/core";
import { buildConnector, type Dispatcher } from "undici";
import type { z } from "zod";

import { newCheckedPool } from "./CheckedPool.js";
import { MAX_ERROR_BYTES, readBytes, type ReadBytes } from "./readBytes.js";
import { delimitsItself, getReadEnd, UNKNOWN_END } from "./readEnd.js";
import { StreamHandler } from "./StreamHandler.js";

/** Estimated size of a request's or response's first line and headers. */
const ESTIMATED_HEADER_BYTES = 250;
const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_CONNECTIONS = 64;
const CONNECT_TIMEOUT_MS = 1_000;
/** Longest response that is read as a whole, unless a peer's own are longer. */
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;
/** A response that is read as a whole, also one that goes on in small pieces, ends within this many time-outs. */
const MAX_TIMEOUTS = 4;

/** Code of a connection that was reset after it had been made. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/** Errors before a byte is sent: no connection in time, and a request that the client rejects. */
const UNSENT_CODES = ["UND_ERR_CONNECT_TIMEOUT", "UND_ERR_INVALID_ARG"] as const;
/** System calls that come before the first byte of a request. */
const CONNECTING_SYSCALLS: readonly string[] = ["connect", "getaddrinfo"];

export interface HttpPeerOptions {
  /** Name used in errors and logs. */
  readonly name: string;
  /** Kind of peer under which traffic is counted. */
  readonly kind: string;
  /** Origin such as `http://127.0.0.1:7000`. */
  readonly origin: string;
  readonly timeoutMs?: number;
  readonly connections?: number;
  /** Longest answer that is read as a whole; all of it may be in memory several times. */
  readonly maxAnswerBytes?: number;
  /**
   * False for peers whose answers must not be taken for one another: each request then has a
   * connection of its own, on which a second copy of an earlier answer can't arrive.
   */
  readonly reusesConnections?: boolean;
  readonly traffic?: TrafficMeter | undefined;
}

export interface CallOptions {
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer | undefined;
  readonly signal?: AbortSignal | undefined;
  readonly timeoutMs?: number;
}

export interface StreamOptions extends CallOptions {
  /** The reader of the bytes finds a whole answer's end in them. */
  readonly hasEndMarker?: boolean;
}

/** The body of a response, as far as it arrived. */
export interface PeerAnswer {
  readonly status: number;
  readonly text: string;
  readonly end: AnswerEnd;
}

/**
 * Connects without the code by which undici takes a reset for the end of an answer that has neither a
 * length nor chunks: what came before it isn't all of the answer.
 */
const newConnector = (): buildConnector.connector => {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener("error", (err: NodeJS.ErrnoException) => {
        if (err.code === "ECONNRESET") {
          err.code = RESET_CODE;
        }
      });
      callback(...result);
    });
  };
};

const getErrorCode = (err: unknown): string | undefined =>
  typeof err === "object" && err !== null && "code" in err ? String(err.code) : undefined;

/**
 * Tells whether a connection couldn't be opened, so that no byte was sent. The code alone doesn't
 * tell: ETIMEDOUT or EHOSTUNREACH can also end a connection that has carried the request.
 */
const isConnectError = (err: unknown): boolean => {
  if (err instanceof AggregateError) {
    return err.errors.length > 0 && err.errors.every(isConnectError);
  }
  const isOfConnect =
    err instanceof Error &&
    "syscall" in err &&
    CONNECTING_SYSCALLS.some((syscall) => syscall === err.syscall);
  return isOfConnect || UNSENT_CODES.some((code) => code === getErrorCode(err));
};

const isSuccess = (status: number): boolean => status >= 200 && status <= 299;

/** HTTP client of one peer with a connection pool; failures become {@link PeerError}s. */
export class HttpPeer {
  readonly name: string;
  readonly origin: string;
  readonly #kind: string;
  readonly #pool: Dispatcher;
  readonly #timeoutMs: number;
  readonly #maxAnswerBytes: number;
  readonly #reusesConnections: boolean;
  readonly #traffic: TrafficMeter | undefined;

  constructor(options: HttpPeerOptions) {
    this.name = options.name;
    this.origin = options.origin;
    this.#kind = options.kind;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
    this.#reusesConnections = options.reusesConnections ?? true;
    this.#traffic = options.traffic;
    this.#pool = newCheckedPool(options.origin, {
      connections: options.connections ?? DEFAULT_MAX_CONNECTIONS,
      connect: newConnector(),
      keepAliveTimeout: 30_000,
    });
  }

  /**
   * Sends a request and returns the response without reading its body, of whose end only {@link getReadEnd}
   * tells.
   */
  async open(path: string, options: CallOptions = {}): Promise<Dispatcher.ResponseData> {
    const timeoutMs = toTimerMs(options.timeoutMs ?? this.#timeoutMs);
    try {
      return await this.#pool.request({
        path,
        method: options.method ?? "GET",
        headers: { "content-type": "application/json", ...options.headers },
        body: options.body ?? null,
        signal: options.signal ?? null,
        reset: !this.#reusesConnections,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
    } catch (err) {
      throw this.toPeerError(err);
    }
  }

  /**
   * Sends a request and passes the body of a response with status 200 to `onData` as it
   * arrives. Resolves at the end of the body; rejects on another status, a broken connection, or an end
   * that isn't known, unless `onData` has its own marker of it.
   */
  stream(path: string, options: StreamOptions, onData: (bytes: Buffer) => void): Promise<void> {
    const timeoutMs = toTimerMs(options.timeoutMs ?? this.#timeoutMs);
    return new Promise((resolve, reject) => {
      const { signal, method = "GET", hasEndMarker = false } = options;
      const handler = new StreamHandler(this, {
        ...{ onData, resolve, reject, signal, method, hasEndMarker },
      });
      this.#pool.dispatch(
        {
          ...{ path, method },
          headers: { "content-type": "application/json", ...options.headers },
          body: options.body ?? null,
          reset: !this.#reusesConnections,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
        handler,
      );
    });
  }

  /**
   * Sends a request and reads the response body as text; tells whether it is whole, cut or its end unknown. Of a
   * long one with an error status only the beginning is read.
   */
  async call(path: string, options: CallOptions = {}): Promise<PeerAnswer> {
    const totalMs = MAX_TIMEOUTS * (options.timeoutMs ?? this.#timeoutMs);
    const timeout = AbortSignal.timeout(toTimerMs(totalMs));
    const signal = options.signal ? AbortSignal.any([timeout, options.signal]) : timeout;
    const res = await this.open(path, { ...options, signal });
    try {
      const { bytes, isWhole } = await this.#readBody(res);
      const text = bytes.toString();
      const sentBytes = Buffer.byteLength(options.body ?? "") + ESTIMATED_HEADER_BYTES;
      this.#traffic?.count(this.#kind, sentBytes, Buffer.byteLength(text) + ESTIMATED_HEADER_BYTES);
      const end = isWhole ? getReadEnd(options.method ?? "GET", res) : AnswerEnd.Cut;
      return { status: res.statusCode, text, end };
    } catch (err) {
      throw this.toPeerError(err);
    }
  }

  async #readBody({ statusCode, body }: Dispatcher.ResponseData): Promise<ReadBytes> {
    const isError = !isSuccess(statusCode);
    const maxBytes = isError
      ? Math.min(MAX_ERROR_BYTES, this.#maxAnswerBytes)
      : this.#maxAnswerBytes;
    const read = await readBytes(body, maxBytes);
    if (!read.isWhole && !isError) {
      throw new Error(`response exceeds ${String(maxBytes)} bytes`);
    }
    return read;
  }

  /** Sends a request and parses the JSON response with `schema`; rejects on a non-2xx status. */
  async callJson<S extends z.ZodType>(
    path: string,
    schema: S,
    options: CallOptions = {},
  ): Promise<z.output<S>> {
    const { status, text, end } = await this.call(path, options);
    if (!isSuccess(status)) {
      throw new PeerError(this.name, `status ${String(status)}: ${text.slice(0, 200)}`, {
        sent: true,
        status,
      });
    }
    try {
      const json: unknown = JSON.parse(text === "" ? "null" : text);
      if (end !== AnswerEnd.Whole && !delimitsItself(json)) {
        throw new Error(UNKNOWN_END);
      }
      return schema.parse(json);
    } catch (err) {
      const message = `unreadable answer: ${getMessage(err)}`;
      throw new PeerError(this.name, message, { sent: true, status, cause: err });
    }
  }

  /** Posts a JSON value; the response is handled as by {@link callJson}. */
  postJson<S extends z.ZodType>(
    path: string,
    body: unknown,
    schema: S,
    options: CallOptions = {},
  ): Promise<z.output<S>> {
    return this.callJson(path, schema, { method: "POST", ...options, body: JSON.stringify(body) });
  }

  /** Converts an error of the transport to a {@link PeerError}. */
  toPeerError(err: unknown): PeerError {
    if (err instanceof PeerError) {
      return err;
    }
    const code = getErrorCode(err);
    return new PeerError(this.name, getMessage(err), {
      sent: !isConnectError(err),
      ...(code === undefined ? {} : { code }),
      cause: err,
    });
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}
