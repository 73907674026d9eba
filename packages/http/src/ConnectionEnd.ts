import { Socket } from "node:net";
import type { Duplex } from "node:stream";

import { Closing } from "@lycheepulley/core";

/**
 * Follows how the peer ends its side of a connection. A reset that arrives together with data is reported as
 * an orderly end by libuv, which doesn't read again after a hang-up; only the system's own state tells them apart.
 */
export class ConnectionEnd {
  #closing: Closing = Closing.Unknown;

  constructor(connection: Duplex) {
    // Before all other listeners, as some of them close the connection themselves.
    connection.prependListener("end", () => {
      this.#closing = getClosing(connection);
    });
    connection.prependListener("error", () => {
      this.#closing = Closing.Reset;
    });
  }

  get closing(): Closing {
    return this.#closing;
  }
}

const getClosing = (connection: Duplex): Closing => {
  if (!(connection instanceof Socket) || namesPeer(connection)) {
    return Closing.Orderly;
  }
  // An orderly close of both sides looks the same.
  return connection.writableEnded ? Closing.Unknown : Closing.Reset;
};

/**
 * True when a connection whose own side is open is known to be reset by now, also before its end is read, or is
 * closed here.
 */
export const isReset = (socket: Socket): boolean =>
  socket.destroyed || (!socket.writableEnded && !namesPeer(socket));

/** After a reset the system no longer names the peer. */
const namesPeer = (socket: Socket): boolean => {
  const isNamed = socket.remoteAddress !== undefined;
  // Not in the types: otherwise the socket doesn't ask the system again.
  Object.assign(socket, { _peername: undefined });
  return isNamed;
};
