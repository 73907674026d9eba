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

/** Most bytes of records in one append. */
const MAX_APPEND_BYTES = 128_000;
const MAX_APPEND_WAIT_MS = 3_000;
const CLOSE_TIMEOUT_MS = 5_000;

/** A record handed to the writer. */
export interface Submission {
  /** Sequence number, once the record is part of an append. */
  readonly seq: Promise<number>;
  /** Resolves when the log confirmed an append that holds the record. */
  readonly appended: Promise<void>;
  /** Takes the record back; false when it may already be on the log. */
  withdraw(): boolean;
}

interface Pending {
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
  /** Share of the append rate that this process may use. */
  readonly budget: TokenBucket;
  readonly onError?: (message: string) => void;
}

/**
 * Group commit: one append at a time carries every record that waits. An
 * append without an answer is repeated with the same sequence numbers, which
 * the fold recognizes.
 */
export class LogWriter {
  readonly #options: LogWriterOptions;
  readonly #queue: Pending[] = [];
  readonly #abort = new AbortController();
  #nextSeq = 1;
  #pumping: Promise<void> | undefined;
  #appends = 0;

  constructor(options: LogWriterOptions) {
    this.#options = options;
  }

  /** Appends confirmed so far. */
  get appends(): number {
    return this.#appends;
  }

  get queueLength(): number {
    return this.#queue.length;
  }

  submit(draft: Draft): Submission {
    let resolveSeq: Pending["resolveSeq"] = () => undefined;
    let resolveAppended: Pending["resolveAppended"] = () => undefined;
    const seq = new Promise<number>((resolve) => (resolveSeq = resolve));
    const appended = new Promise<void>((resolve) => (resolveAppended = resolve));
    const bytes = JSON.stringify(draft).length;
    const pending: Pending = { draft, bytes, resolveSeq, resolveAppended, state: "queued" };
    this.#queue.push(pending);
    this.#pumping ??= this.#pump();
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

  /** Waits for what is queued, at most a few seconds, and stops. */
  async close(): Promise<void> {
    const { clock } = this.#options;
    await withTimeout(this.#pumping ?? Promise.resolve(), {
      clock,
      timeoutMs: CLOSE_TIMEOUT_MS,
      what: "log writer",
    }).catch(() => undefined);
    this.#abort.abort();
  }

  /** Stops at once, as the death of the process would. */
  abort(): void {
    this.#abort.abort();
  }

  async #pump(): Promise<void> {
    // Records submitted in the same turn share the append.
    await Promise.resolve();
    while (this.#queue.length > 0 && !this.#abort.signal.aborted) {
      await this.#waitForBudget();
      const batch = this.#takeBatch();
      if (batch.length > 0) {
        await this.#appendUntilConfirmed(batch);
      }
    }
    this.#pumping = undefined;
  }

  async #waitForBudget(): Promise<void> {
    const { budget, clock } = this.#options;
    while (!budget.tryTake() && !this.#abort.signal.aborted) {
      await sleep(clock, Math.max(1, budget.getWaitMs()), this.#abort.signal);
    }
  }

  #takeBatch(): Pending[] {
    const batch: Pending[] = [];
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

  async #appendUntilConfirmed(batch: readonly Pending[]): Promise<void> {
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
        timeoutMs: MAX_APPEND_WAIT_MS,
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
