import type { Socket } from "node:net";

/** Time for which a connection that ends on an error is read on, so that its caller gets the answer. */
const LINGER_MS = 1_000;

interface ConnectionState {
  /** Requests without a complete answer. */
  requests: number;
  /** Time after which the connection is closed when it stays idle. */
  idleMs: number;
}

/** Connections of callers, with what is in progress on each. */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();

  get size(): number {
    return this.#states.size;
  }

  add(socket: Socket): void {
    this.#states.set(socket, { requests: 0, idleMs: 0 });
    socket.on("error", () => undefined);
    socket.on("close", () => this.#states.delete(socket));
  }

  startRequest(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state) {
      state.requests += 1;
    }
  }

  /** `idleMs` is the time for which the connection may stay idle from now on. */
  endRequest(socket: Socket, idleMs: number): void {
    const state = this.#states.get(socket);
    if (state) {
      state.requests -= 1;
      state.idleMs = idleMs;
    }
  }

  /** Keeps idle connections for `idleMs` from now on, unless they are kept for longer already. */
  extendIdle(idleMs: number): void {
    for (const [socket, state] of this.#states) {
      if (state.requests === 0 && state.idleMs > 0 && state.idleMs < idleMs) {
        state.idleMs = idleMs;
        socket.setTimeout(idleMs);
      }
    }
  }

  /** Ends a connection after an answer without a body, unless another answer is in progress on it. */
  endWithStatus(socket: Socket, status: number, reason: string): void {
    const isAnswering = (this.#states.get(socket)?.requests ?? 0) > 0;
    if (isAnswering || !socket.writable || socket.bytesRead === 0) {
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
}
