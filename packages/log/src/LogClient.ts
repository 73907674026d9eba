import type { LogEntry } from "@lycheepulley/core";

/** Range of a stream: the first retained offset and the offset of the next append. */
export interface LogExtent {
  readonly first: number;
  readonly end: number;
}

/** Result of one read of a stream; its entries start at the requested offset. */
export interface LogPage extends LogExtent {
  readonly entries: readonly LogEntry[];
}

/** Thrown when entries from the requested offset on are no longer retained. */
export class LogTrimmedError extends Error {
  constructor(
    readonly stream: string,
    readonly first: number,
  ) {
    super(`log stream ${stream}: entries before offset ${String(first)} are gone`);
    this.name = "LogTrimmedError";
  }
}

/** Client of the platform's append-only log service. */
export interface LogClient {
  /**
   * Appends one entry and returns its offset. On an error the append may have
   * taken effect unless the error says that nothing was sent.
   */
  append(stream: string, data: string): Promise<number>;
  /** Reads up to `limit` entries, waiting up to `waitMs` for the first one. */
  read(
    stream: string,
    from: number,
    options: { limit: number; waitMs: number; signal?: AbortSignal },
  ): Promise<LogPage>;
  /** Fetches the range of a stream. */
  fetchExtent(stream: string): Promise<LogExtent>;
}
