import { constants, fstatSync, openSync, write } from "node:fs";
import { Socket } from "node:net";

const STDOUT_FD = 1;
/** Opens the same pipe once more, with flags of its own. */
const STDOUT_PATH = `/proc/self/fd/${String(STDOUT_FD)}`;

/** Where log lines go. */
export interface LogOutput {
  /** Calls `onWritten` with the number of bytes that were taken, or with an error such as `EAGAIN`. */
  write(
    data: Buffer,
    onWritten: (err: NodeJS.ErrnoException | null, written: number) => void,
  ): void;
}

const newFdOutput = (fd: number): LogOutput => ({
  write: (data, onWritten) => {
    write(fd, data, onWritten);
  },
});

const newSocketOutput = (fd: number): LogOutput => {
  const socket = new Socket({ fd, readable: false, writable: true });
  socket.on("error", () => undefined);
  return {
    write: (data, onWritten) => {
      socket.write(data, (err) => {
        onWritten(err ?? null, data.length);
      });
    },
  };
};

/** Opens a pipe or a socket so that a write doesn't block: the runtime's exit waits for one that does. */
export const openStandardOutput = (): LogOutput => {
  const stats = fstatSync(STDOUT_FD);
  if (stats.isSocket()) {
    return newSocketOutput(STDOUT_FD);
  }
  if (stats.isFIFO()) {
    try {
      return newFdOutput(openSync(STDOUT_PATH, constants.O_WRONLY | constants.O_NONBLOCK));
    } catch {
      // Not a system with /proc, or a pipe of another user.
    }
  }
  return newFdOutput(STDOUT_FD);
};
