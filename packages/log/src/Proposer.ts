import {
  getMessage,
  PulleyError,
  Step,
  TimeoutError,
  Verdict,
  withTimeout,
  type Clock,
  type Draft,
  type FoldedRecord,
} from "@lycheepulley/core";

import type { FoldReader } from "./FoldReader.js";
import type { LogWriter } from "./LogWriter.js";

/** Raised when a proposal's result could not be read back in time. */
export class ProposalTimeoutError extends PulleyError {
  constructor(
    step: Step,
    /** False when the record certainly never reaches the log. */
    readonly mayTakeEffect: boolean,
    cause: unknown,
  ) {
    super(`log: ${getMessage(cause)}`, {
      code: "log_unavailable",
      step,
      peer: "log",
      verdict: Verdict.NotRun,
      cause,
    });
    this.name = "ProposalTimeoutError";
  }
}

/** Appends a record and learns from the fold whether it was accepted. */
export class Proposer {
  readonly #writer: LogWriter;
  readonly #reader: FoldReader;
  readonly #clock: Clock;
  readonly #writerName: string;
  readonly #waiting = new Map<number, (folded: FoldedRecord) => void>();

  constructor(options: {
    writer: LogWriter;
    reader: FoldReader;
    clock: Clock;
    writerName: string;
  }) {
    this.#writer = options.writer;
    this.#reader = options.reader;
    this.#clock = options.clock;
    this.#writerName = options.writerName;
    this.#reader.subscribe((folded) => {
      this.#settle(folded);
    });
  }

  get reader(): FoldReader {
    return this.#reader;
  }

  get writer(): LogWriter {
    return this.#writer;
  }

  /** Proposes a record; resolves when it was read back in log order. */
  async propose(draft: Draft, options: { timeoutMs: number; step?: Step }): Promise<FoldedRecord> {
    const submission = this.#writer.submit(draft);
    let seq = 0;
    const readBack = submission.seq.then(
      (assigned) =>
        new Promise<FoldedRecord>((resolve) => {
          seq = assigned;
          this.#waiting.set(assigned, resolve);
        }),
    );
    try {
      return await withTimeout(readBack, {
        clock: this.#clock,
        timeoutMs: options.timeoutMs,
        what: "append and read-back",
      });
    } catch (err) {
      if (!(err instanceof TimeoutError)) {
        throw err;
      }
      this.#waiting.delete(seq);
      throw new ProposalTimeoutError(options.step ?? Step.LogAppend, !submission.withdraw(), err);
    }
  }

  #settle(folded: FoldedRecord): void {
    const { writer, seq } = folded.record;
    if (writer !== this.#writerName) {
      return;
    }
    const resolve = this.#waiting.get(seq);
    this.#waiting.delete(seq);
    resolve?.(folded);
  }
}
