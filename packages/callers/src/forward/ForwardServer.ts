import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

import type { Clock, OverloadControl, ProcessLifecycle } from "@lycheepulley/core";
import {
  DEFAULT_CALLER_LIMITS,
  type AnswerWriter,
  type Dialect,
  type FleetView,
  type ForwardRequest,
  type RequestHead,
} from "@lycheepulley/forwarding";
import { ConnectionQueue, findInvalidRequest, limitUnreadBody, readBody } from "@lycheepulley/http";
import type { Logger } from "@lycheepulley/telemetry";

import { afterReading } from "./afterReading.js";
import { AdmissionPolicy, LEAVING } from "./AdmissionPolicy.js";
import { BrokenBodies } from "./BrokenBodies.js";
import { CallerConnections } from "./CallerConnections.js";
import { CallerPresence } from "./CallerPresence.js";
import { discardBody } from "./discardBody.js";
import { BuffersFullError, toFailureAnswer } from "./failureAnswer.js";
import { getHeldLimitBytes, HeldMemory } from "./HeldMemory.js";
import { allowHalfClosed, HalfClosedProbe } from "./halfClosed.js";
import { getStage, type AdmissionProgress } from "./progress.js";
import { getErrorAnswer } from "./errorAnswers.js";
import { countHeaderBytes, getFingerprint } from "./requestBytes.js";
import { newOverloadAnswer } from "./overloadAnswer.js";
import { Rejections } from "./Rejections.js";
import { ResponseWriter } from "./ResponseWriter.js";

/** Added to the configured time-outs, so that a request sent just within them isn't cut off. */
const TIMEOUT_GRACE_MS = 2_000;
/** Limit for the headers of any request; that of the configuration is applied to complete headers. */
const MAX_HEADER_BYTES = 131_072;
/** Longest time for which connections that callers keep opening are accepted at the end. */
const MAX_ACCEPT_MS = 200;
/** Connections that the system may hold for the process, which takes them in faster than it serves them. */
const ACCEPT_BACKLOG = 4_096;

/** Reason for which requests are aborted; one for all, since each error notes where it was made. */
const CALLER_GONE = new Error("the caller has its answer or has left");

/** HTTP server that admits callers' requests and forwards their bytes to upstreams. */
export class ForwardServer {
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #memory: HeldMemory;
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #dialect: Dialect;
  readonly #logger: Logger;
  readonly #forward: (req: ForwardRequest, writer: AnswerWriter) => Promise<void>;
  readonly #lifecycle: ProcessLifecycle;
  readonly #admission: AdmissionPolicy;
  readonly #load: OverloadControl;
  readonly #rejections: Rejections;
  readonly #queue: ConnectionQueue;
  readonly #bodies = new BrokenBodies();
  /** Connections so far. */
  #accepted = 0;

  constructor(options: {
    clock: Clock;
    lifecycle: ProcessLifecycle;
    /** Shared by the listeners of the process. */
    load: OverloadControl;
    view: FleetView;
    dialect: Dialect;
    logger: Logger;
    /** Memory of the VM, megabytes. */
    memoryMb?: number | undefined;
    forward: (req: ForwardRequest, writer: AnswerWriter) => Promise<void>;
  }) {
    this.#clock = options.clock;
    this.#lifecycle = options.lifecycle;
    this.#load = options.load;
    this.#connections = new CallerConnections(options.clock);
    this.#view = options.view;
    this.#dialect = options.dialect;
    this.#logger = options.logger;
    this.#forward = options.forward;
    this.#admission = new AdmissionPolicy(options);
    this.#rejections = new Rejections(options);
    const { clock, logger } = options;
    this.#memory = new HeldMemory({
      ...{ clock, logger, limitBytes: getHeldLimitBytes(options.memoryMb) },
    });
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, insecureHTTPParser: false },
      (req, res) => {
        void this.#handleRequest(req, res);
      },
    );
    allowHalfClosed(this.#server);
    this.applyLimits();
    this.#queue = new ConnectionQueue(this.#server, {
      ...{ clock, load: options.load, newAnswer: newOverloadAnswer },
      getOpen: () => this.#connections.sockets,
      onAccept: (socket) => {
        this.#accepted += 1;
        this.#connections.add(socket);
      },
      onServe: (socket, wait) => {
        this.#connections.startArrival(socket, wait);
        this.#load.turns.afterNextTurn(() => {
          this.#connections.endArrival(socket);
        });
      },
    });
    this.#server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
      this.#handleConnectionError(err, socket as Socket);
    });
    this.#server.on("error", (err) => {
      this.#logger.error("listener failed", { step: "accept", err: err.message });
    });
  }

  /** Requests without a complete answer, also those that are still being received. */
  get requests(): number {
    return this.#connections.requests;
  }

  get connections(): Pick<CallerConnections, "size" | "countInProgress" | "unused" | "partial"> {
    return this.#connections;
  }

  /** What is held for callers and upstreams. */
  get held(): Pick<HeldMemory, "bytes" | "requests"> {
    return this.#memory;
  }

  /** Accepts connections, unless the process leaves by now. */
  listen(host: string, port: number): Promise<void> {
    if (this.#lifecycle.isLeaving) {
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ port, host, backlog: ACCEPT_BACKLOG }, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** Applies the time-outs of the configuration in force to the server. */
  applyLimits(): void {
    const limits = this.#view.table?.config.limits ?? DEFAULT_CALLER_LIMITS;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + TIMEOUT_GRACE_MS;
    this.#server.headersTimeout = limits.headerTimeoutMs + TIMEOUT_GRACE_MS;
    this.#connections.extendIdle(this.#server.keepAliveTimeout);
  }

  /**
   * Accepts the connections that the system holds for the process and then no more, and closes those
   * that are idle after an answer.
   */
  close(): void {
    this.#closeOnceAccepted(this.#clock.now() + MAX_ACCEPT_MS);
  }

  #closeOnceAccepted(untilMs: number): void {
    const before = this.#accepted;
    afterReading(() => {
      // The runtime accepts one connection in a turn, and closing resets those that still wait.
      if (this.#accepted > before && this.#clock.now() < untilMs) {
        this.#closeOnceAccepted(untilMs);
        return;
      }
      // That of the HTTP server takes connections for idle while their answers are still being sent.
      NetServer.prototype.close.call(this.#server);
      this.#connections.closeIdle();
    });
  }

  /** Closes the connections on which no request has begun. */
  closeUnused(): void {
    afterReading(() => {
      this.#connections.closeIdle();
      this.#connections.closeUnused();
    });
  }

  /** Closes all connections, and logs each request that ends without a complete answer. */
  destroy(): void {
    this.#connections.describePending().forEach((request) => {
      this.#logger.warn("request ended with its process", { step: "stop", ...request });
    });
    this.#connections.destroy();
    this.#queue.close();
  }

  #handleConnectionError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    this.#logger.warn("caller's connection closed on an error", {
      ...{ step: "accept", err: err.message, code: err.code },
      receivedBytes: socket.bytesRead,
    });
    this.#bodies.fail(socket);
    this.#connections.endWithStatus(socket, ...getErrorAnswer(err.code));
  }

  async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const readWait = this.#load.turns.getWait();
    const abort = new AbortController();
    const { socket } = req;
    this.#bodies.add(req);
    limitUnreadBody(req, res);
    const progress: AdmissionProgress = { head: undefined, isForwarded: false };
    const turn = this.#connections.startRequest(socket, () => ({
      ...{ requestId: progress.head?.attemptId, stage: getStage(req, res, progress) },
      ms: Math.round(this.#clock.now() - wait.sinceMs),
    }));
    const wait = turn.wait ?? readWait;
    res.on("error", () => undefined);
    req.on("error", () => undefined);
    req.on("close", turn.endReading);
    res.on("close", () => {
      abort.abort(CALLER_GONE);
      turn.end(this.#server.keepAliveTimeout);
    });
    const retryAfterMs = this.#load.decideRead(turn.wait, readWait);
    if (retryAfterMs !== undefined) {
      this.#rejections.rejectOverload(res, () => this.#readHead(req), retryAfterMs);
      return;
    }
    const { turns } = this.#load;
    const probe = new HalfClosedProbe(req, res, { clock: this.#clock, turns });
    const presence = new CallerPresence(probe, { clock: this.#clock, socket });
    await turn.earlier;
    if (!socket.writable) {
      // The answer before ended the connection; the caller knows that this request wasn't read.
      return;
    }
    // Before its turn, a response isn't closed with its connection.
    const writer = new ResponseWriter(res, {
      getRequestId: () => progress.head?.attemptId ?? "",
      memory: this.#memory,
      isClosing: () => this.#lifecycle.isLeaving,
    });
    try {
      const head = this.#readHead(req);
      progress.head = head;
      await this.#admit({
        ...{ req, head, writer, receivedMs: wait.sinceMs, signal: abort.signal, progress },
        ...{ presence, mayHaveLeft: this.#load.mayHaveLeft(turn.wait, readWait) },
      });
    } catch (err) {
      this.#handleFailure(err, { req, progress, writer });
    }
  }

  #readHead({ method = "GET", url = "/", rawHeaders: headers }: IncomingMessage): RequestHead {
    return this.#dialect.readHead({ method, path: url, headers });
  }

  async #admit(options: {
    req: IncomingMessage;
    head: RequestHead;
    writer: ResponseWriter;
    receivedMs: number;
    signal: AbortSignal;
    progress: AdmissionProgress;
    presence: CallerPresence;
    /** The caller may have left before its request was read. */
    mayHaveLeft: boolean;
  }): Promise<void> {
    const { req, head, writer, receivedMs, signal, progress, presence, mayHaveLeft } = options;
    if (findInvalidRequest(req) !== undefined) {
      writer.closeAfterAnswer();
      this.#rejections.reject(head, writer, { status: 400, message: "invalid head" });
      return;
    }
    const { maxHeaderBytes } = this.#view.table?.config.limits ?? DEFAULT_CALLER_LIMITS;
    if (countHeaderBytes(req) > maxHeaderBytes) {
      writer.closeAfterAnswer();
      this.#rejections.reject(head, writer, { status: 431, message: "headers exceed the limit" });
      return;
    }
    const admission = this.#admission.decide(head);
    if ("status" in admission) {
      if (this.#lifecycle.isLeaving && !req.complete) {
        // The connection closes after the answer, and unread bytes would reset it.
        await discardBody(req, this.#clock);
      }
      this.#rejections.reject(head, writer, admission);
      return;
    }
    const body = await this.#readBody(req, writer);
    if (!(await presence.check(mayHaveLeft)) || signal.aborted) {
      writer.abort();
      return;
    }
    if (this.#lifecycle.isClosing) {
      this.#rejections.reject(head, writer, LEAVING);
      return;
    }
    progress.isForwarded = true;
    await this.#forward(
      {
        ...{ ...admission, head, body, receivedMs, signal },
        fingerprint: getFingerprint(head, admission.customer, body),
        confirmCaller: () => presence.confirm(),
      },
      writer,
    );
  }

  async #readBody(req: IncomingMessage, writer: ResponseWriter): Promise<Buffer> {
    this.#bodies.check(req);
    const { maxBodyBytes } = this.#view.table?.config.limits ?? DEFAULT_CALLER_LIMITS;
    return readBody(req, maxBodyBytes, (chunk) => {
      if (!writer.addBody(chunk.length)) {
        throw new BuffersFullError();
      }
    });
  }

  #handleFailure(
    err: unknown,
    options: { req: IncomingMessage; progress: AdmissionProgress; writer: ResponseWriter },
  ): void {
    const { req, progress, writer } = options;
    if (writer.isClosed) {
      return;
    }
    const { isExpected, closes, status, message, retryAfterMs } = toFailureAnswer(err, progress);
    if (!isExpected && !req.complete && req.destroyed) {
      writer.abort();
      return;
    }
    if (!isExpected) {
      this.#logger.error("request failed with an internal error", {
        ...{ requestId: progress.head?.attemptId, step: "accept", revision: this.#view.revision },
        err: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
    }
    if (closes) {
      writer.closeAfterAnswer();
    }
    writer.sendOwn(status, message, retryAfterMs);
  }
}
