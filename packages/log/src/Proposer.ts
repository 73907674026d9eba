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

/** Thrown when a proposed record was not read back before the time-out. */
export class ProposalTimeoutError extends PulleyError {
  constructor(
    step: Step,
    /** False if the record was withdrawn before it could reach the log. */
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

/** Appends records and reads back from the fold whether they were accepted. */
export class Proposer {
  readonly #writer: LogWriter;
  readonly #reader: FoldReader;
  readonly #clock: Clock;
  readonly #writerName: string;
  readonly #waitingBySeq = new Map<number, (folded: FoldedRecord) => void>();

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
      this.#resolveWaiting(folded);
    });
  }

  get reader(): FoldReader {
    return this.#reader;
  }

  get writer(): LogWriter {
    return this.#writer;
  }

  /** Appends a record; resolves with the result of folding it once it was read back. */
  async propose(draft: Draft, options: { timeoutMs: number; step?: Step }): Promise<FoldedRecord> {
    const submission = this.#writer.submit(draft);
    let seq = 0;
    const readBack = submission.seq.then(
      (assigned) =>
        new Promise<FoldedRecord>((resolve) => {
          seq = assigned;
          this.#waitingBySeq.set(assigned, resolve);
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
      this.#waitingBySeq.delete(seq);
      throw new ProposalTimeoutError(options.step ?? Step.LogAppend, !submission.withdraw(), err);
    }
  }

  #resolveWaiting(folded: FoldedRecord): void {
    const { writer, seq } = folded.record;
    if (writer !== this.#writerName) {
      return;
    }
    const resolve = this.#waitingBySeq.get(seq);
    this.#waitingBySeq.delete(seq);
    resolve?.(folded);
  }
}
