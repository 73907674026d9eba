import { randomUUID } from "node:crypto";

import {
  CONTROL_RETENTION_MS,
  RegisterFold,
  SystemClock,
  SystemRandom,
  TimeoutError,
  TokenBucket,
  withTimeout,
} from "@lycheepulley/core";
import { FoldReader, HttpLogClient, LogWriter, Proposer } from "@lycheepulley/log";
import { CONTROL_STREAM } from "@lycheepulley/serving";

import { ConfigPublisher } from "./ConfigPublisher.js";

const MAX_APPENDS_PER_S = 5;
const CATCH_UP_TIMEOUT_MS = 10_000;

/** Connection of an operator to the platform's log; works without any entry process. */
export class OperatorSession {
  readonly log: HttpLogClient;
  readonly proposer: Proposer;
  readonly config: ConfigPublisher;
  readonly #clock = new SystemClock();

  constructor(options: { logOrigin: string; operator: string }) {
    const clock = this.#clock;
    this.log = new HttpLogClient({ origin: options.logOrigin });
    const writerName = `operator-${options.operator}.${randomUUID()}`;
    const budget = new TokenBucket({
      clock,
      ratePerS: MAX_APPENDS_PER_S,
      burst: MAX_APPENDS_PER_S,
    });
    this.proposer = new Proposer({
      clock,
      writerName,
      reader: new FoldReader({
        log: this.log,
        stream: CONTROL_STREAM,
        clock,
        fold: new RegisterFold({ retentionMs: CONTROL_RETENTION_MS }),
      }),
      writer: new LogWriter({
        log: this.log,
        stream: CONTROL_STREAM,
        clock,
        random: new SystemRandom(),
        writer: writerName,
        budget,
      }),
    });
    this.config = new ConfigPublisher(this.proposer);
  }

  /** Reads the log up to its current end; throws if that takes too long. */
  async open(): Promise<void> {
    const abort = new AbortController();
    this.proposer.reader.start();
    try {
      await withTimeout(this.proposer.reader.waitCaughtUp(abort.signal), {
        clock: this.#clock,
        timeoutMs: CATCH_UP_TIMEOUT_MS,
        what: "log",
      });
    } catch (err) {
      abort.abort();
      await this.close();
      throw err instanceof TimeoutError ? new Error("the log did not answer in time") : err;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.proposer.reader.stop(), this.proposer.writer.close()]);
    await this.log.close();
  }
}
