import { openStandardOutput, type LogOutput } from "./LogOutput.js";
import type { Logger, LogFields } from "./Logger.js";

const FLUSH_MS = 20;
const MAX_PENDING_BYTES = 1_000_000;
const MAX_LINES_PER_S = 2_000;
const MS_PER_S = 1_000;

/** Writes lines to an output without blocking; drops lines while its buffer is full. */
class DroppingStream {
  readonly #output: LogOutput;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;
  #onEmpty: (() => void)[] = [];
  /** Dropped lines that weren't reported yet. */
  dropped = 0;

  constructor(output: LogOutput) {
    this.#output = output;
  }

  /** True while less than half of the buffer is used, so that a short line fits. */
  get hasRoom(): boolean {
    return this.#pendingBytes < MAX_PENDING_BYTES / 2;
  }

  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#pendingBytes + bytes > MAX_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingBytes += bytes;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.flush();
    }, FLUSH_MS);
  }

  /** Writes a line without waiting for the event loop where the output can: behind few buffered lines, or before many. */
  writeNow(line: string): void {
    const { writeNow } = this.#output;
    if (!this.#isWriting && writeNow?.(Buffer.from([...this.#pending, line].join("")))) {
      this.#pending = [];
      this.#pendingBytes = 0;
    } else if (!writeNow?.(Buffer.from(line))) {
      this.write(line);
    }
    this.flush();
  }

  /** Writes the buffered lines; only one write is in progress at a time. */
  flush(): void {
    if (this.#isWriting) {
      return;
    }
    if (this.#pendingBytes === 0) {
      this.#onEmpty.splice(0).forEach((resolve) => {
        resolve();
      });
      return;
    }
    const data = Buffer.from(this.#pending.join(""));
    const lines = this.#pending.length;
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeFully(data, lines);
  }

  /** Resolves once all lines are written, or after `timeoutMs` where nobody reads them. */
  async drain(timeoutMs: number): Promise<void> {
    const empty = new Promise<void>((resolve) => this.#onEmpty.push(resolve));
    this.flush();
    await Promise.race([empty, new Promise((resolve) => setTimeout(resolve, timeoutMs))]);
  }

  #writeFully(data: Buffer, lines: number): void {
    this.#isWriting = true;
    this.#output.write(data, (err, written) => {
      if (err?.code === "EAGAIN") {
        // The pipe is full. The write is repeated, so that no line is cut in the middle.
        setTimeout(() => {
          this.#writeFully(data, lines);
        }, FLUSH_MS);
        return;
      }
      this.#isWriting = false;
      if (err) {
        this.dropped += lines;
      } else if (written < data.length) {
        this.#writeFully(data.subarray(written), lines);
        return;
      }
      this.flush();
    });
  }
}

/** A logger whose lines can be awaited before the process exits. */
export interface BoundedLogger extends Logger {
  /** Resolves once all lines are written, or after `timeoutMs` where nobody reads them. */
  drain(timeoutMs: number): Promise<void>;
}

const LEVELS: readonly (keyof Logger)[] = ["debug", "info", "warn", "error"];

/** One log line; fields that can't be written as JSON are left out. */
const toLine = (
  level: keyof Logger,
  message: string,
  process: string,
  fields: LogFields,
): string => {
  const line = { level, message, process };
  const timestamp = new Date().toISOString();
  try {
    return `${JSON.stringify({ ...line, ...fields, timestamp })}\n`;
  } catch (err) {
    return `${JSON.stringify({ ...line, unwritten: String(err), timestamp })}\n`;
  }
};

/**
 * Creates a logger that writes JSON lines to standard output, with limits on its
 * lines per second and its memory. Lines beyond them are dropped and counted. Errors are written at
 * once, since the process may end before its event loop turns again.
 */
export const newBoundedLogger = (options: {
  process: string;
  level: keyof Logger;
}): BoundedLogger => {
  const stream = new DroppingStream(openStandardOutput());
  let secondStart = 0;
  let lines = 0;
  let dropped = 0;
  const isWithinRate = (): boolean => {
    const now = performance.now();
    if (now - secondStart >= MS_PER_S) {
      secondStart = now;
      lines = 0;
    }
    lines += 1;
    return lines <= MAX_LINES_PER_S;
  };
  const log = (level: keyof Logger, message: string, fields: LogFields): void => {
    const line = toLine(level, message, options.process, fields);
    if (level === "error") {
      stream.writeNow(line);
    } else {
      stream.write(line);
    }
  };
  const newMethod = (level: keyof Logger): Logger[keyof Logger] => {
    if (LEVELS.indexOf(level) < LEVELS.indexOf(options.level)) {
      return () => undefined;
    }
    return (message, fields = {}) => {
      if (!isWithinRate()) {
        dropped += 1;
        return;
      }
      const lost = dropped + stream.dropped;
      if (lost > 0 && stream.hasRoom) {
        dropped = 0;
        stream.dropped = 0;
        log("warn", "log lines dropped", { step: "log", lost });
      }
      log(level, message, fields);
    };
  };
  return {
    debug: newMethod("debug"),
    info: newMethod("info"),
    warn: newMethod("warn"),
    error: newMethod("error"),
    drain: (timeoutMs) => stream.drain(timeoutMs),
  };
};
