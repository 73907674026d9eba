import {
  getBackoffMs,
  getMessage,
  RECORD_VERSION,
  sleep,
  withTimeout,
  type Clock,
  type Draft,
  type LogRecord,
  type Random,
  type TokenBucket,
} from "@lycheepulley/core";

import type { LogClient } from "./LogClient.js";

/** Maximum size of the records in one append; a larger record is appended alone. */
const MAX_APPEND_BYTES = 128_000;
const APPEND_TIMEOUT_MS = 3_000;
const CLOSE_TIMEOUT_MS = 5_000;

/** A record submitted to the writer. */
export interface Submission {
  /** Resolves to the sequence number when the record becomes part of an append. */
  readonly seq: Promise<number>;
  /** Resolves when the log has confirmed an append with the record. */
  readonly appended: Promise<void>;
  /** Cancels the record; returns false if it may already be on the log. */
  withdraw(): boolean;
}

interface PendingRecord {
  readonly draft: Draft;
  readonly bytes: number;
  readonly resolveSeq: (seq: number) => void;
  readonly resolveAppended: () => void;
  state: "queued" | "sent" | "withdrawn";
}

export interface LogWriterOptions {
  readonly log: LogClient;
  readonly stream: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Process name and incarnation. */
  readonly writer: string;
  /** This process's share of the append rate. */
  readonly budget: TokenBucket;
  readonly onError?: (message: string) => void;
}

/**
 * Writes records to one stream by group commit: one append at a time carries
 * the waiting records. A failed append is retried with the same sequence
 * numbers, so that the fold drops the records if they were already appended.
 */
export class LogWriter {
  readonly #options: LogWriterOptions;
  readonly #queue: PendingRecord[] = [];
  readonly #abort = new AbortController();
  #nextSeq = 1;
  #flushing: Promise<void> | undefined;
  #appends = 0;

  constructor(options: LogWriterOptions) {
    this.#options = options;
  }

  /** Appends confirmed so far. */
  get appends(): number {
    return this.#appends;
  }

  /** Number of queued records, including withdrawn ones that weren't removed yet. */
  get queueLength(): number {
    return this.#queue.length;
  }

  /** Queues a record for the next append. */
  submit(draft: Draft): Submission {
    let resolveSeq: PendingRecord["resolveSeq"] = () => undefined;
    let resolveAppended: PendingRecord["resolveAppended"] = () => undefined;
    const seq = new Promise<number>((resolve) => (resolveSeq = resolve));
    const appended = new Promise<void>((resolve) => (resolveAppended = resolve));
    const bytes = Buffer.byteLength(JSON.stringify(draft));
    const pending: PendingRecord = { draft, bytes, resolveSeq, resolveAppended, state: "queued" };
    this.#queue.push(pending);
    this.#flushing ??= this.#flushQueue();
    return {
      seq,
      appended,
      withdraw: () => {
        if (pending.state === "queued") {
          pending.state = "withdrawn";
        }
        return pending.state === "withdrawn";
      },
    };
  }

  /** Waits a few seconds at most for the queued records to be appended, then stops. */
  async close(): Promise<void> {
    const { clock } = this.#options;
    await withTimeout(this.#flushing ?? Promise.resolve(), {
      clock,
      timeoutMs: CLOSE_TIMEOUT_MS,
      what: "log writer",
    }).catch(() => undefined);
    this.#abort.abort();
  }

  /** Stops immediately without appending queued records, as a crash would. */
  abort(): void {
    this.#abort.abort();
  }

  async #flushQueue(): Promise<void> {
    // Lets records that are submitted in the same tick share an append.
    await Promise.resolve();
    while (this.#queue.length > 0 && !this.#abort.signal.aborted) {
      await this.#waitForBudget();
      const batch = this.#takeBatch();
      if (batch.length > 0) {
        await this.#appendUntilConfirmed(batch);
      }
    }
    this.#flushing = undefined;
  }

  async #waitForBudget(): Promise<void> {
    const { budget, clock } = this.#options;
    while (!budget.tryTake() && !this.#abort.signal.aborted) {
      await sleep(clock, Math.max(1, budget.getWaitMs()), this.#abort.signal);
    }
  }

  #takeBatch(): PendingRecord[] {
    const batch: PendingRecord[] = [];
    let bytes = 0;
    let next = this.#queue[0];
    while (next && (batch.length === 0 || bytes + next.bytes <= MAX_APPEND_BYTES)) {
      this.#queue.shift();
      if (next.state === "queued") {
        next.state = "sent";
        bytes += next.bytes;
        batch.push(next);
      }
      next = this.#queue[0];
    }
    return batch;
  }

  async #appendUntilConfirmed(batch: readonly PendingRecord[]): Promise<void> {
    const records = batch.map((pending): LogRecord => {
      const seq = this.#nextSeq++;
      pending.resolveSeq(seq);
      return { v: RECORD_VERSION, ...pending.draft, writer: this.#options.writer, seq };
    });
    const data = JSON.stringify(records);
    for (let retry = 1; !this.#abort.signal.aborted; retry += 1) {
      if (await this.#tryAppend(data)) {
        batch.forEach((pending) => {
          pending.resolveAppended();
        });
        return;
      }
      const backoffMs = getBackoffMs(retry, this.#options.random);
      await sleep(this.#options.clock, backoffMs, this.#abort.signal);
      await this.#waitForBudget();
    }
  }

  async #tryAppend(data: string): Promise<boolean> {
    const { log, stream, clock, onError } = this.#options;
    try {
      await withTimeout(log.append(stream, data), {
        clock,
        timeoutMs: APPEND_TIMEOUT_MS,
        what: "log append",
      });
      this.#appends += 1;
      return true;
    } catch (err) {
      onError?.(getMessage(err));
      return false;
    }
  }
}
