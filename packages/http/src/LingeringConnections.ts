import type { Socket } from "node:net";

import type { Cancel, Clock } from "@lycheepulley/core";

/** Connections that may stay open at most; the oldest is closed for a further one. */
const MAX_CONNECTIONS = 512;
const LINGER_MS = 500;

/**
 * Keeps connections open that have their last answer, so that it reaches its callers: closing one over
 * unread bytes resets it. What callers send meanwhile isn't read.
 */
export class LingeringConnections {
  readonly #clock: Clock;
  readonly #connections: { readonly socket: Socket; readonly untilMs: number }[] = [];
  #cancelSweep: Cancel | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(socket: Socket): void {
    this.#connections.push({ socket, untilMs: this.#clock.now() + LINGER_MS });
    if (this.#connections.length > MAX_CONNECTIONS) {
      this.#connections.shift()?.socket.destroy();
    }
    this.#sweepLater();
  }

  /** Closes all of them. */
  close(): void {
    this.#cancelSweep?.();
    this.#connections.splice(0).forEach(({ socket }) => socket.destroy());
  }

  #sweepLater(): void {
    this.#cancelSweep ??= this.#clock.setTimer(() => {
      this.#cancelSweep = undefined;
      const now = this.#clock.now();
      while (this.#connections[0] && this.#connections[0].untilMs <= now) {
        this.#connections.shift()?.socket.destroy();
      }
      if (this.#connections.length > 0) {
        this.#sweepLater();
      }
    }, LINGER_MS);
  }
}
