import { write } from "node:fs";
import { Writable } from "node:stream";

import winston from "winston";

import type { Logger, LogFields } from "./Logger.js";

const STDOUT_FD = 1;
const FLUSH_MS = 20;
const MAX_PENDING_BYTES = 1_000_000;
const MAX_LINES_PER_S = 2_000;
const MS_PER_S = 1_000;

/** Writes lines to a descriptor without blocking; what a slow reader can't take is dropped. */
class DroppingStream extends Writable {
  readonly #fd: number;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;
  /** Lines dropped since the last one that went out. */
  dropped = 0;

  constructor(fd: number) {
    super({ decodeStrings: true });
    this.#fd = fd;
  }

  /** True while a short line surely fits. */
  get hasRoom(): boolean {
    return this.#pendingBytes < MAX_PENDING_BYTES / 2;
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    if (this.#pendingBytes + chunk.length > MAX_PENDING_BYTES) {
      this.dropped += 1;
    } else {
      this.#pending.push(chunk);
      this.#pendingBytes += chunk.length;
      this.#timer ??= setTimeout(() => {
        this.#timer = undefined;
        this.flush();
      }, FLUSH_MS);
    }
    done();
  }

  /** Hands pending lines to the system; one call is outstanding at a time. */
  flush(): void {
    if (this.#isWriting || this.#pendingBytes === 0) {
      return;
    }
    const data = Buffer.concat(this.#pending);
    const lines = this.#pending.length;
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeAll(data, lines);
  }

  #writeAll(data: Buffer, lines: number): void {
    this.#isWriting = true;
    write(this.#fd, data, (err, written) => {
      if (err?.code === "EAGAIN") {
        // The reader is behind; what is left of a line must follow its beginning.
        setTimeout(() => {
          this.#writeAll(data, lines);
        }, FLUSH_MS);
        return;
      }
      this.#isWriting = false;
      if (err) {
        this.dropped += lines;
      } else if (written < data.length) {
        this.#writeAll(data.subarray(written), lines);
        return;
      }
      this.flush();
    });
  }
}

/** Logger of JSON lines on standard output, bounded in lines a second and in memory. */
export const newBoundedLogger = (options: { process: string; level: string }): Logger => {
  const stream = new DroppingStream(STDOUT_FD);
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: { process: options.process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream })],
  });
  let secondStart = 0;
  let lines = 0;
  let dropped = 0;
  const isAllowed = (): boolean => {
    const now = performance.now();
    if (now - secondStart >= MS_PER_S) {
      secondStart = now;
      lines = 0;
    }
    lines += 1;
    return lines <= MAX_LINES_PER_S;
  };
  const newMethod =
    (level: keyof Logger) =>
    (message: string, fields: LogFields = {}): void => {
      if (!logger.isLevelEnabled(level)) {
        return;
      }
      if (!isAllowed()) {
        dropped += 1;
        return;
      }
      const lost = dropped + stream.dropped;
      if (lost > 0 && stream.hasRoom) {
        dropped = 0;
        stream.dropped = 0;
        logger.log("warn", "log lines dropped", { step: "log", lost });
      }
      logger.log(level, message, fields);
    };
  return {
    debug: newMethod("debug"),
    info: newMethod("info"),
    warn: newMethod("warn"),
    error: newMethod("error"),
  };
};
