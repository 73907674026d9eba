import { constants, fstatSync, openSync, write, writeSync } from "node:fs";
import { Socket } from "node:net";

const STDOUT_FD = 1;
/** Longest write that a pipe doesn't split (POSIX names no less than 512). */
const PIPE_BUF_BYTES = 4_096;
/** Opens the same pipe once more, with flags of its own. */
const STDOUT_PATH = `/proc/self/fd/${String(STDOUT_FD)}`;

/** Where log lines go. */
export interface LogOutput {
  /** Calls `onWritten` with the number of bytes that were taken, or with an error such as `EAGAIN`. */
  write(
    data: Buffer,
    onWritten: (err: NodeJS.ErrnoException | null, written: number) => void,
  ): void;
  /** Writes a short line without waiting for the event loop; false when it wasn't taken. Absent where that could block. */
  readonly writeNow?: (line: Buffer) => boolean;
}

const newFdOutput = (fd: number): LogOutput => ({
  write: (data, onWritten) => {
    write(fd, data, onWritten);
  },
});

/** Writes to what doesn't block; a short line is taken as a whole or not at all by a pipe, and nearly always by others. */
const writeNow = (fd: number, line: Buffer): boolean => {
  try {
    return line.length <= PIPE_BUF_BYTES && writeSync(fd, line) === line.length;
  } catch {
    return false;
  }
};

const newDirectOutput = (fd: number): LogOutput => ({
  ...newFdOutput(fd),
  writeNow: writeNow.bind(undefined, fd),
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
    // The runtime has made the socket one that doesn't block.
    writeNow: writeNow.bind(undefined, fd),
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
      return newDirectOutput(openSync(STDOUT_PATH, constants.O_WRONLY | constants.O_NONBLOCK));
    } catch {
      // Not a system with /proc, or a pipe of another user.
    }
  }
  return stats.isFile() ? newDirectOutput(STDOUT_FD) : newFdOutput(STDOUT_FD);
};
