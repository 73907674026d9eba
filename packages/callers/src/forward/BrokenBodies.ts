import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Thrown when a request's body isn't HTTP. */
export class InvalidBodyError extends Error {}

/**
 * Tells the readers of bodies that nothing more comes: after an error of its parser, a connection that
 * stays open ends no body.
 */
export class BrokenBodies {
  readonly #newest = new WeakMap<Socket, IncomingMessage>();
  readonly #broken = new WeakSet<IncomingMessage>();

  add(req: IncomingMessage): void {
    this.#newest.set(req.socket, req);
  }

  /** The parser of this connection has stopped. */
  fail(socket: Socket): void {
    const req = this.#newest.get(socket);
    if (req && !req.complete) {
      this.#broken.add(req);
      req.emit("error", new InvalidBodyError("invalid body"));
    }
  }

  /** Throws for a body that broke before it was read. */
  check(req: IncomingMessage): void {
    if (this.#broken.has(req)) {
      throw new InvalidBodyError("invalid body");
    }
  }
}
