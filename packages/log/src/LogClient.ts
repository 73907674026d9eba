import type { LogEntry } from "@lycheepulley/core";

/** First retained offset and the offset that the next append gets. */
export interface LogExtent {
  readonly first: number;
  readonly end: number;
}

/** One read of a stream; entries start at the asked offset. */
export interface LogPage extends LogExtent {
  readonly entries: readonly LogEntry[];
}

/** Raised when entries from the asked offset are no longer retained. */
export class LogTrimmedError extends Error {
  constructor(
    readonly stream: string,
    readonly first: number,
  ) {
    super(`log stream ${stream}: entries before offset ${String(first)} are gone`);
    this.name = "LogTrimmedError";
  }
}

/** The platform's append-only log service. */
export interface LogClient {
  /**
   * Appends one entry and returns its offset. On an error the append may have
   * taken effect unless the error says that nothing was sent.
   */
  append(stream: string, data: string): Promise<number>;
  /** Reads up to `limit` entries, waiting up to `waitMs` for the first. */
  read(
    stream: string,
    from: number,
    options: { limit: number; waitMs: number; signal?: AbortSignal },
  ): Promise<LogPage>;
  fetchExtent(stream: string): Promise<LogExtent>;
}
