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
  if (!(connection instanceof Socket)) {
    return Closing.Orderly;
  }
  // After a reset the system no longer names the peer, unless it was asked for before.
  if (connection.remoteAddress !== undefined) {
    return Closing.Orderly;
  }
  // It doesn't after an orderly close of both sides either.
  return connection.writableEnded ? Closing.Unknown : Closing.Reset;
};
