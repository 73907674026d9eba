import type { IncomingMessage, Server, ServerResponse } from "node:http";

import type { Clock, LoopTurns } from "@lycheepulley/core";
import { isReset } from "@lycheepulley/http";

import { resetOnClose } from "./resetOnClose.js";

const PROBE_INTERVAL_MS = 100;
/** Time between the first probes, in which the reset of a caller that left comes back. */
const FIRST_INTERVAL_MS = 5;
/** A reset shows with the next write, so that a caller that left is noticed after two of them. */
const NEEDED_PROBES = 2;

/** Lets callers close their sending side after a request, and still get its answer. */
export const allowHalfClosed = (server: Server): void => {
  // Not in the types: otherwise the server ends the connection when the caller's side ends.
  Object.assign(server, { httpAllowHalfOpen: true });
};

/**
 * Tells a caller that closed its sending side after the request from one that left: both look the
 * same until something is sent, which the system of one that left answers with a reset. So interim
 * answers are sent, which callers skip. During an answer, a caller that closes its side has left.
 */
export class HalfClosedProbe {
  readonly #req: IncomingMessage;
  readonly #res: ServerResponse;
  readonly #clock: Clock;
  readonly #turns: LoopTurns;
  #cancel = (): void => undefined;
  #probes = 0;
  /** Those that wait for the interim answers. */
  readonly #waiting: (() => void)[] = [];

  constructor(
    req: IncomingMessage,
    res: ServerResponse,
    { clock, turns }: { clock: Clock; turns: LoopTurns },
  ) {
    this.#req = req;
    this.#res = res;
    this.#clock = clock;
    this.#turns = turns;
    const { socket } = req;
    const onEnd = this.#onEnd.bind(this);
    if (socket.readableEnded) {
      onEnd();
    } else {
      socket.once("end", onEnd);
    }
    res.on("close", () => {
      this.#cancel();
      socket.off("end", onEnd);
      this.#endWaiting();
    });
  }

  /**
   * Resolves once a caller that left before its request was read is known to be gone: the end of its side
   * lies behind the request, and is read in the next turn.
   */
  async settle(): Promise<void> {
    await this.#nextTurn();
    const { destroyed, headersSent } = this.#res;
    if (!this.#req.socket.readableEnded || destroyed || headersSent) {
      return;
    }
    await new Promise<void>((resolve) => {
      if (this.#probes >= NEEDED_PROBES) {
        resolve();
      } else {
        this.#waiting.push(resolve);
      }
    });
    await this.#nextTurn();
  }

  /** The same once more: the interim answers that went out before tell nothing of a caller that left since. */
  async settleAgain(): Promise<void> {
    if (this.#probes > 0) {
      this.#cancel();
      this.#probes = 0;
      this.#probe();
    }
    await this.settle();
  }

  #endWaiting(): void {
    this.#waiting.splice(0).forEach((end) => {
      end();
    });
  }

  #nextTurn(): Promise<void> {
    return new Promise((resolve) => {
      this.#turns.afterNextTurn(resolve);
    });
  }

  #onEnd(): void {
    const { headersSent, chunkedEncoding } = this.#res;
    if (isReset(this.#req.socket)) {
      this.#res.destroy();
      return;
    }
    if (!headersSent && this.#req.httpVersionMinor !== 0) {
      this.#probe();
      return;
    }
    if (headersSent && !chunkedEncoding) {
      resetOnClose(this.#req.socket);
    }
    // No interim answers are possible, and a stream would go on until two more of its events.
    this.#res.destroy();
  }

  #probe(): void {
    if (this.#res.headersSent || this.#res.destroyed || !this.#req.socket.writable) {
      this.#endWaiting();
      return;
    }
    this.#res.writeContinue();
    this.#probes += 1;
    if (this.#probes >= NEEDED_PROBES) {
      this.#endWaiting();
    }
    this.#cancel = this.#clock.setTimer(
      () => {
        this.#probe();
      },
      this.#probes < NEEDED_PROBES ? FIRST_INTERVAL_MS : PROBE_INTERVAL_MS,
    );
  }
}
