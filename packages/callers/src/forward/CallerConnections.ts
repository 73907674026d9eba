import { toTimerMs, type Clock, type Wait } from "@lycheepulley/core";
import type { Socket } from "node:net";

import { resetOnClose } from "./resetOnClose.js";

/** Callers send a request within this time after they connect, or much later. */
const FIRST_REQUEST_MS = 200;
/** Pieces of a head follow each other within this time, or much later. */
const HEAD_PAUSE_MS = 500;
/** Time for which a connection that ends on an error is read on, so that its caller gets the answer. */
const LINGER_MS = 1_000;

/** A request without a complete answer. */
interface PendingRequest {
  readonly describe: () => object;
  /** Resolves the turn of the request behind it. */
  readonly end: () => void;
}

interface ConnectionState {
  readonly openedMs: number;
  /** Wait of its first request; undefined once that came later than the connection. */
  wait: Wait | undefined;
  /** Requests that were answered. */
  answers: number;
  /** Oldest first. */
  readonly pending: Set<PendingRequest>;
  /** Resolves when the newest request has ended. */
  newest: Promise<void> | undefined;
  /** Time after which the connection is closed when it stays idle. */
  idleMs: number;
  /** Bytes that were received until the last request had been read. */
  readBytes: number;
  /** Bytes of an unfinished head when they were last counted, and the time of the newest. */
  headBytes: number;
  headAtMs: number;
  /** It is closed once nothing is in progress on it. */
  isLast: boolean;
}

/** One request on a connection, from its head to the end of its answer. */
export interface ConnectionTurn {
  /** All of the request has been received. */
  endReading(): void;
  /** Resolves when the request before it on the connection has ended; undefined when there is none. */
  readonly earlier: Promise<void> | undefined;
  /** Wait of the request if it came with its connection. */
  readonly wait: Wait | undefined;
  /** Ends the request; the connection may stay idle for `idleMs` from now on. */
  end(idleMs: number): void;
}

/** Connections of callers, with what is in progress on each. */
export class CallerConnections {
  readonly #clock: Clock;
  readonly #states = new Map<Socket, ConnectionState>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#states.size;
  }

  /** All open connections. */
  get sockets(): Iterable<Socket> {
    return this.#states.keys();
  }

  /** Requests without a complete answer, over all connections. */
  get requests(): number {
    return [...this.#states.values()].reduce((sum, { pending }) => sum + pending.size, 0);
  }

  /**
   * Counts what the process would cut if it ended now: requests without a complete answer, also those
   * whose heads are still coming, and requests that are likely to be on their way on new connections.
   */
  countInProgress(): number {
    const now = this.#clock.now();
    const isComing = (state: ConnectionState, { bytesRead }: Socket): boolean => {
      if (bytesRead === 0) {
        return now - state.openedMs < FIRST_REQUEST_MS;
      }
      if (state.pending.size > 0 || bytesRead === state.readBytes) {
        return false;
      }
      if (bytesRead > state.headBytes) {
        state.headBytes = bytesRead;
        state.headAtMs = now;
      }
      return now - state.headAtMs < HEAD_PAUSE_MS;
    };
    return this.requests + this.#count(isComing);
  }

  /** Open connections on which no byte was received. */
  get unused(): number {
    return this.#count((_state, socket) => socket.bytesRead === 0);
  }

  /** Open connections on which a request began whose head isn't complete. */
  get partial(): number {
    return this.#count(
      ({ pending, readBytes }, socket) => pending.size === 0 && socket.bytesRead > readBytes,
    );
  }

  /** What is known of each request without a complete answer, and of its connection. */
  describePending(): object[] {
    const now = this.#clock.now();
    return [...this.#states.values()].flatMap(({ pending, openedMs, answers }) =>
      [...pending].map(({ describe }) => ({
        ...describe(),
        ...{ connectionMs: Math.round(now - openedMs), answers },
      })),
    );
  }

  add(socket: Socket): void {
    const state: ConnectionState = {
      ...{ openedMs: this.#clock.now(), wait: undefined },
      answers: 0,
      pending: new Set(),
      newest: undefined,
      idleMs: 0,
      ...{ readBytes: 0, headBytes: 0, headAtMs: 0 },
      isLast: false,
    };
    this.#states.set(socket, state);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.#states.delete(socket);
      state.pending.forEach(({ end }) => {
        end();
      });
    });
  }

  /** Notes that a new connection is read from now on, after this wait. */
  startArrival(socket: Socket, wait: Wait): void {
    const state = this.#states.get(socket);
    if (state) {
      state.wait = wait;
    }
  }

  /** Notes that what a new connection had brought along was read by now. */
  endArrival(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state) {
      state.wait = undefined;
    }
  }

  /** `describe` tells how far the request has come, for the log. */
  startRequest(socket: Socket, describe: () => object): ConnectionTurn {
    const state = this.#states.get(socket);
    if (!state) {
      return {
        ...{ earlier: undefined, wait: undefined },
        ...{ endReading: () => undefined, end: () => undefined },
      };
    }
    const earlier = state.pending.size > 0 ? state.newest : undefined;
    let resolve = (): void => undefined;
    state.newest = new Promise((done) => {
      resolve = done;
    });
    const request: PendingRequest = { describe, end: resolve };
    state.pending.add(request);
    const { wait } = state;
    state.wait = undefined;
    return {
      ...{ earlier, wait },
      endReading: () => {
        state.readBytes = socket.bytesRead;
      },
      end: (idleMs) => {
        state.pending.delete(request);
        state.answers += 1;
        state.idleMs = idleMs;
        request.end();
        if (state.isLast && state.pending.size === 0) {
          socket.end();
        }
      },
    };
  }

  /** Keeps idle connections for `idleMs` from now on, unless they are kept for longer already. */
  extendIdle(idleMs: number): void {
    for (const [socket, state] of this.#states) {
      if (state.pending.size === 0 && state.idleMs > 0 && state.idleMs < idleMs) {
        state.idleMs = idleMs;
        socket.setTimeout(toTimerMs(idleMs));
      }
    }
  }

  /**
   * Closes the connections on which a request has been answered and none has begun since. An answer
   * counts until all of it has been sent.
   */
  closeIdle(): void {
    for (const [socket, { pending, answers, readBytes }] of this.#states) {
      if (pending.size === 0 && answers > 0 && socket.bytesRead === readBytes) {
        socket.destroy();
      }
    }
  }

  /** Closes the connections on which no byte was received. */
  closeUnused(): void {
    for (const socket of this.#states.keys()) {
      if (socket.bytesRead === 0) {
        socket.destroy();
      }
    }
  }

  /** Closes all connections; those with a request in progress so that no answer looks complete. */
  destroy(): void {
    for (const [socket, { pending }] of this.#states) {
      if (pending.size > 0) {
        resetOnClose(socket);
      }
      socket.destroy();
    }
    this.#states.clear();
  }

  /** Ends a connection after an answer without a body, or after the answers in progress on it. */
  endWithStatus(socket: Socket, status: number, reason: string): void {
    const state = this.#states.get(socket);
    if (state && state.pending.size > 0) {
      state.isLast = true;
      return;
    }
    if (!socket.writable || socket.bytesRead === 0) {
      socket.destroy();
      return;
    }
    socket.end(
      `HTTP/1.1 ${String(status)} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
    // Closing with unread bytes resets the connection, which may discard the answer.
    socket.resume();
    setTimeout(() => socket.destroy(), LINGER_MS).unref();
  }

  #count(isCounted: (state: ConnectionState, socket: Socket) => boolean): number {
    return [...this.#states].filter(([socket, state]) => isCounted(state, socket)).length;
  }
}
