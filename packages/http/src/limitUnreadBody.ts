import type { IncomingMessage, ServerResponse } from "node:http";

import { ReadBudget } from "@lycheepulley/core";

/** Longest body that is read although nobody wants it, so that its caller may go on with the connection. */
const MAX_UNREAD_BYTES = 16_777_216;

/** Reads a body that nobody wants, within limits; calls `onEnd` at its end, or `onLimit` in its place. */
export const discardWithin = (
  req: IncomingMessage,
  { onEnd, onLimit }: { onEnd?: () => void; onLimit: () => void },
): void => {
  const budget = new ReadBudget();
  const add = ({ length }: Buffer): void => {
    if (!budget.spend(length) || budget.cost.bytes > MAX_UNREAD_BYTES) {
      req.off("data", add);
      req.pause();
      onLimit();
    }
  };
  if (onEnd) {
    req.once("end", onEnd);
  }
  req.on("data", add);
};

/** Closes the connection of a request that has its answer and whose body goes on beyond what a sound caller sends. */
export const limitUnreadBody = (req: IncomingMessage, res: ServerResponse): void => {
  const { socket } = req;
  res.once("prefinish", () => {
    // A body that was read in part isn't read on, and its connection closes behind the answer.
    if (!req.complete && !req.destroyed && !req.isPaused()) {
      discardWithin(req, { onLimit: () => socket.destroy() });
    }
  });
};
