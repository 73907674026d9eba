import type { Socket } from "node:net";

import type { buildConnector } from "undici";

import { findOverhead } from "./overhead.js";

/** An answer that is being received. */
export interface WatchedAnswer {
  readonly bodyBytes: number;
  abort(err: Error): void;
}

/** Ends answers that consist of little but framing, on the connections of one client, which has one at a time. */
export class ConnectionWatch {
  readonly connect: buildConnector.connector;
  #socket: Socket | undefined;
  #answer: WatchedAnswer | undefined;
  /** Bytes of the connection before the answer. */
  #startBytes = 0;

  constructor(connect: buildConnector.connector) {
    this.connect = (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        if (socket) {
          this.#add(socket);
        }
        callback(...result);
      });
    };
  }

  /** The request was written to the connection; what it receives from now on is the answer. */
  begin(answer: WatchedAnswer): void {
    this.#answer = answer;
    this.#startBytes = this.#socket?.bytesRead ?? 0;
  }

  end(answer: WatchedAnswer): void {
    if (this.#answer === answer) {
      this.#answer = undefined;
    }
  }

  #add(socket: Socket): void {
    this.#socket = socket;
    // The client reads by the same event, behind this listener.
    socket.on("readable", () => {
      this.#check(socket);
    });
  }

  #check(socket: Socket): void {
    const answer = this.#answer;
    if (!answer || socket !== this.#socket) {
      return;
    }
    const parsedBytes = socket.bytesRead - this.#startBytes - socket.readableLength;
    const err = findOverhead(parsedBytes, answer.bodyBytes);
    if (err) {
      answer.abort(err);
    }
  }
}
