import type { IncomingMessage, Server, ServerResponse } from "node:http";

import type { Clock } from "@lycheepulley/core";

import { resetOnClose } from "./resetOnClose.js";

/** A reset shows with the next write, so that a caller that left is noticed after two of them. */
const PROBE_INTERVAL_MS = 100;

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
export const probeHalfClosed = (req: IncomingMessage, res: ServerResponse, clock: Clock): void => {
  const { socket } = req;
  let cancel = (): void => undefined;
  const probe = (): void => {
    if (res.headersSent || res.destroyed || !socket.writable) {
      return;
    }
    res.writeContinue();
    cancel = clock.setTimer(probe, PROBE_INTERVAL_MS);
  };
  const onEnd = (): void => {
    if (res.headersSent || req.httpVersionMinor === 0) {
      if (res.headersSent && !res.chunkedEncoding) {
        resetOnClose(socket);
      }
      // No interim answers are possible, and a stream would go on until two more of its events.
      res.destroy();
    } else {
      probe();
    }
  };
  if (socket.readableEnded) {
    onEnd();
  } else {
    socket.once("end", onEnd);
  }
  res.on("close", () => {
    cancel();
    socket.off("end", onEnd);
  });
};
