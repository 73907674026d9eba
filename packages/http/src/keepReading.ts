import type { Socket } from "node:net";

const kept = new WeakSet<Socket>();

/** Resolves with `work`; until then the connection is read all the while, so that its end is seen. */
export const keepReading = async (socket: Socket, work: Promise<void>): Promise<void> => {
  kept.add(socket);
  if (socket.isPaused()) {
    socket.resume();
  }
  try {
    await work;
  } finally {
    kept.delete(socket);
  }
};

/** True for connections that no pause may stop. */
export const isKeptReading = (socket: Socket): boolean => kept.has(socket);
