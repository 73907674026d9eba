import type { Socket } from "node:net";

/** Has a connection end with a reset, which a caller can't take for the end of an answer. */
export const resetOnClose = (socket: Socket): void => {
  // `resetAndDestroy` sends a FIN before the reset.
  Object.assign(socket, { resetAndClosing: true });
};
