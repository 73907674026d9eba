import {
  foldSnapshotSchema,
  getMessage,
  RecordKind,
  sleep,
  type Clock,
  type FoldedRecord,
  type FoldSnapshot,
  type LogEntry,
  type RegisterFold,
} from "@lycheepulley/core";
import { Publisher } from "@lycheepulley/streams";
import type { Stream } from "most";

import { LogTrimmedError, type LogClient } from "./LogClient.js";

const READ_LIMIT = 256;
const LONG_POLL_MS = 1_000;
const RETRY_MS = 100;

export interface FoldReaderOptions {
  readonly log: LogClient;
  /** Name of the stream to follow. */
  readonly stream: string;
  readonly clock: Clock;
  readonly fold: RegisterFold;
  /** Continues at the first retained entry, without a snapshot, when entries were trimmed. */
  readonly skipsTrimmedEntries?: boolean;
  readonly longPollMs?: number;
  readonly onError?: (message: string) => void;
}

/** Follows one stream of the log, folds its entries and publishes the folded records. */
export class FoldReader {
  readonly fold: RegisterFold;
  readonly #options: FoldReaderOptions;
  readonly #records = new Publisher<FoldedRecord>();
  readonly #entries = new Publisher<LogEntry>();
  readonly #abort = new AbortController();
  #running: Promise<void> | undefined;
  #isCaughtUp = false;
  #lastReadStartMs = -Infinity;
  #reads = 0;

  constructor(options: FoldReaderOptions) {
    this.#options = options;
    this.fold = options.fold;
  }

  /** Every folded record in log order. */
  get folded(): Stream<FoldedRecord> {
    return this.#records.stream;
  }

  /** Every entry, published after its records were folded. */
  get entries(): Stream<LogEntry> {
    return this.#entries.stream;
  }

  /** Number of reads that the log answered. */
  get reads(): number {
    return this.#reads;
  }

  /** Calls `fn` with every folded record. */
  subscribe(fn: (folded: FoldedRecord) => void): () => void {
    return this.#records.subscribe(fn);
  }

  /** True once the fold has reached the stream's end, or has applied a peer's snapshot. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp;
  }

  /** Monotonic time at which the last answered read was sent, milliseconds. */
  get lastReadStartMs(): number {
    return this.#lastReadStartMs;
  }

  start(): void {
    this.#running ??= this.#run();
  }

  async stop(): Promise<void> {
    this.#abort.abort();
    await this.#running;
  }

  /** Resolves once the fold has caught up, or when `signal` aborts or the reader stops. */
  async waitCaughtUp(signal?: AbortSignal): Promise<void> {
    while (!this.#isCaughtUp && !signal?.aborted && !this.#abort.signal.aborted) {
      await sleep(this.#options.clock, RETRY_MS / 4, signal);
    }
  }

  /** Applies a peer's snapshot while the log can't be read; returns false if it isn't newer. */
  applyPeerSnapshot(snapshot: FoldSnapshot): boolean {
    const applied = this.fold.applySnapshot(snapshot);
    if (applied) {
      this.#isCaughtUp = true;
    }
    return applied;
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        await this.#readOnce();
      } catch (err) {
        if (err instanceof LogTrimmedError) {
          await this.#recover(err.first);
        } else if (!this.#abort.signal.aborted) {
          this.#options.onError?.(getMessage(err));
          await sleep(this.#options.clock, RETRY_MS, this.#abort.signal);
        }
      }
    }
  }

  async #readOnce(): Promise<void> {
    const { log, stream } = this.#options;
    const from = this.fold.nextOffset;
    const startMs = this.#options.clock.now();
    const page = await log.read(stream, from, {
      limit: READ_LIMIT,
      waitMs: this.#isCaughtUp ? (this.#options.longPollMs ?? LONG_POLL_MS) : 0,
      signal: this.#abort.signal,
    });
    this.#reads += 1;
    this.#lastReadStartMs = startMs;
    if (page.first > from) {
      throw new LogTrimmedError(stream, page.first);
    }
    page.entries.forEach((entry) => {
      this.#mutateAndPublish(entry);
    });
    if (this.fold.nextOffset >= page.end) {
      this.#isCaughtUp = true;
    }
  }

  #mutateAndPublish(entry: LogEntry): void {
    for (const folded of this.fold.applyEntry(entry)) {
      this.#records.publish(folded);
    }
    this.#entries.publish(entry);
  }

  /** Continues from a snapshot or at the first retained entry when the next entries were trimmed. */
  async #recover(first: number): Promise<void> {
    const { clock, onError, stream } = this.#options;
    if (this.#options.skipsTrimmedEntries) {
      const { timeMs } = this.fold;
      this.fold.applySnapshot({ asOf: first - 1, timeMs, registers: [], writers: {} });
      return;
    }
    try {
      const snapshot = await this.#findSnapshot(first);
      if (snapshot && this.fold.applySnapshot(snapshot)) {
        return;
      }
      this.#isCaughtUp = false;
      onError?.(`stream ${stream}: found no usable snapshot in the retained entries`);
    } catch (err) {
      onError?.(getMessage(err));
    }
    await sleep(clock, RETRY_MS, this.#abort.signal);
  }

  /** Finds the newest snapshot whose following entries are all retained, searching backwards. */
  async #findSnapshot(first: number): Promise<FoldSnapshot | undefined> {
    const { log, stream } = this.#options;
    const { end } = await log.fetchExtent(stream);
    for (let to = end; to > first; to -= READ_LIMIT) {
      const from = Math.max(first, to - READ_LIMIT);
      const page = await log.read(stream, from, { limit: to - from, waitMs: 0 });
      const snapshots = page.entries.flatMap((entry) => parseSnapshots(entry));
      const newest = snapshots.findLast((snapshot) => snapshot.asOf + 1 >= first);
      if (newest) {
        return newest;
      }
    }
    return undefined;
  }
}

const parseSnapshots = (entry: LogEntry): FoldSnapshot[] =>
  entry.records.flatMap((record) => {
    if (record.kind !== RecordKind.Snapshot) {
      return [];
    }
    const parsed = foldSnapshotSchema.safeParse(record.body);
    return parsed.success ? [parsed.data] : [];
  });
