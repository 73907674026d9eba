import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

import {
  ProcessState,
  PulleyError,
  Step,
  Verdict,
  type Clock,
  type OverloadControl,
  type ProcessLifecycle,
  type Wait,
} from "@lycheepulley/core";
import {
  discardWithin,
  isReset,
  keepReading,
  readBody,
  type HttpObserver,
} from "@lycheepulley/http";
import type { Logger } from "@lycheepulley/telemetry";

import { sendError } from "./errorAnswer.js";
import { afterReading } from "./forward/afterReading.js";
import { CallerConnections } from "./forward/CallerConnections.js";
import { getStage } from "./forward/progress.js";
import { newOverloadedError } from "./overloadedAnswer.js";

/** Another process serves at once. */
const LEAVING_RETRY_MS = 1_000;
/** Longest time for which the body of a rejected request is awaited. */
const MAX_DISCARD_MS = 500;

/** How far a request came. */
interface Progress {
  requestId: string;
  isForwarded: boolean;
  /** Its caller may have left before it was read. */
  mayHaveLeft: boolean;
}

/** A request that was given an id, until its process ends it or it ends by itself. */
export interface AdmittedRequest {
  /** Aborted by its caller, or by the end of the process. */
  readonly abort: AbortController;
  /** Reads the body; rejects when the process ends before the request can run. */
  readBody(limitBytes: number): Promise<Buffer>;
  end(): void;
}

const newLeavingError = (): PulleyError =>
  new PulleyError("not run: this process is leaving", {
    ...{ code: "leaving", step: Step.Accept, verdict: Verdict.NotRun },
    retryAfterMs: LEAVING_RETRY_MS,
  });

const newGoneError = (): PulleyError =>
  new PulleyError("not run: its caller has left", {
    ...{ code: "canceled", step: Step.Accept, verdict: Verdict.NotRun },
  });

/** Requests and connections of callers, which the life cycle of the process ends in order. */
export class OpenRequests implements HttpObserver {
  readonly #clock: Clock;
  readonly #lifecycle: ProcessLifecycle;
  readonly #logger: Logger;
  readonly #load: OverloadControl;
  readonly #connections: CallerConnections;
  readonly #responses = new Map<ServerResponse, Progress>();

  constructor(options: {
    clock: Clock;
    lifecycle: ProcessLifecycle;
    load: OverloadControl;
    logger: Logger;
    /** Has the server accept no more connections. */
    stopAccepting: () => void;
  }) {
    const { clock, lifecycle, logger, stopAccepting } = options;
    this.#load = options.load;
    this.#clock = clock;
    this.#lifecycle = lifecycle;
    this.#logger = logger;
    this.#connections = new CallerConnections(clock);
    lifecycle.on(ProcessState.Leaving, () => {
      this.#responses.forEach((_progress, res) => {
        res.shouldKeepAlive = false;
      });
    });
    lifecycle.on(ProcessState.Draining, () => {
      afterReading(() => {
        this.#connections.closeIdle();
      });
    });
    lifecycle.on(ProcessState.Closing, () => {
      const { size, unused, partial } = this.#connections;
      logger.info("admission ended", {
        ...{ step: "drain", inFlight: this.#connections.requests },
        ...{ connections: size, unused, partial },
      });
      afterReading(() => {
        stopAccepting();
        // Those that were accepted just now may have sent a request.
        afterReading(() => {
          this.#connections.closeIdle();
          this.#connections.closeUnused();
        });
      });
    });
    lifecycle.on(ProcessState.Stopped, () => {
      this.destroy();
    });
  }

  /**
   * Counts what the process would cut if it admitted nothing from now on; once it doesn't, what it would cut
   * if it ended, also answers that their callers haven't read.
   */
  countInProgress(): number {
    const inProgress = this.#connections.countInProgress();
    const arriving = inProgress - this.#connections.requests;
    const unended = [...this.#responses.keys()].filter((res) => !res.writableEnded).length;
    return this.#lifecycle.isClosing ? inProgress : arriving + unended;
  }

  onConnection(socket: Socket): void {
    this.#connections.add(socket);
  }

  onServe(socket: Socket, wait: Wait): void {
    this.#connections.startArrival(socket, wait);
    this.#load.turns.afterNextTurn(() => {
      this.#connections.endArrival(socket);
    });
  }

  /** Counts a request until its answer has been sent; true when it was rejected. */
  onRequest(req: IncomingMessage, res: ServerResponse): boolean {
    const readWait = this.#load.turns.getWait();
    const progress: Progress = { requestId: "", isForwarded: false, mayHaveLeft: false };
    const startMs = this.#clock.now();
    const { socket } = req;
    const turn = this.#connections.startRequest(socket, () => ({
      ...{ requestId: progress.requestId, stage: getStage(req, res, progress) },
      ms: Math.round(this.#clock.now() - startMs),
    }));
    this.#responses.set(res, progress);
    const end = (): void => {
      this.#responses.delete(res);
      turn.end(0);
    };
    req.on("close", turn.endReading);
    res.on("close", end);
    // Before its turn, a response isn't closed with its connection.
    socket.once("close", end);
    res.on("close", () => socket.off("close", end));
    if (this.#lifecycle.isLeaving) {
      res.shouldKeepAlive = false;
    }
    progress.mayHaveLeft = this.#load.mayHaveLeft(turn.wait, readWait);
    const retryAfterMs = this.#load.decideRead(turn.wait, readWait);
    if (this.#lifecycle.isClosing) {
      this.#reject(req, res);
      return true;
    }
    if (retryAfterMs !== undefined) {
      sendError(res, newOverloadedError(retryAfterMs), "");
      return true;
    }
    return false;
  }

  /** Follows a request that was given an id. */
  admit(req: IncomingMessage, res: ServerResponse, requestId: string): AdmittedRequest {
    const unknown = { requestId, isForwarded: false, mayHaveLeft: true };
    const progress = this.#responses.get(res) ?? unknown;
    progress.requestId = requestId;
    const abort = new AbortController();
    const cancel = this.#lifecycle.on(ProcessState.Closing, () => {
      abort.abort();
    });
    return {
      abort,
      readBody: async (limitBytes) => {
        const left = new Promise<undefined>((resolve) => {
          const end = (): void => {
            resolve(undefined);
          };
          abort.signal.addEventListener("abort", end);
          res.once("close", end);
        });
        const reading = readBody(req, limitBytes).catch((err: unknown) => {
          // Nothing more is read on its connection.
          res.shouldKeepAlive = false;
          throw err;
        });
        const body = await Promise.race([reading, left]);
        if (progress.mayHaveLeft) {
          await this.#checkCaller(req);
        }
        if (body && isReset(req.socket)) {
          throw newGoneError();
        }
        if (!body || this.#lifecycle.isClosing) {
          throw newLeavingError();
        }
        progress.isForwarded = true;
        return body;
      },
      end: cancel,
    };
  }

  /** Closes all connections, and logs each request that ends without a complete answer. */
  destroy(): void {
    this.#connections.describePending().forEach((request) => {
      this.#logger.warn("request ended with its process", { step: "stop", ...request });
    });
    this.#connections.destroy();
  }

  /** Throws for a caller that has left: the end of its side lies behind its request, and is read next. */
  async #checkCaller({ socket }: IncomingMessage): Promise<void> {
    const read = new Promise<void>((resolve) => {
      this.#load.turns.afterNextTurn(resolve);
    });
    await keepReading(socket, read);
    if (socket.readableEnded || socket.destroyed) {
      throw newGoneError();
    }
  }

  #reject(req: IncomingMessage, res: ServerResponse): void {
    let isSent = false;
    const send = (): void => {
      if (!isSent && !res.destroyed) {
        isSent = true;
        sendError(res, newLeavingError(), "");
      }
    };
    if (req.complete) {
      send();
      return;
    }
    // The connection closes after the answer, and unread bytes would reset it.
    discardWithin(req, { onEnd: send, onLimit: send });
    this.#clock.setTimer(send, MAX_DISCARD_MS);
  }
}
