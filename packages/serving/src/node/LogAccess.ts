import {
  CONTROL_RETENTION_MS,
  RecordKind,
  RegisterFold,
  TokenBucket,
  type Clock,
  type Protections,
  type Random,
} from "@lycheepulley/core";
import { FoldReader, LogWriter, Proposer, type LogClient } from "@lycheepulley/log";
import type { Logger } from "@lycheepulley/telemetry";

import { ClaimShard } from "../claims/ClaimShard.js";
import { CONTROL_STREAM, getClaimStream } from "../streams.js";

const DEFAULT_APPENDS_PER_S = 300;
const APPEND_BURST = 10;

/** Creates the log readers and writers of one process, which share one append budget. */
export class LogAccess {
  readonly client: LogClient;
  /** Proposer for configuration, leases, blocked prompts and audit lines. */
  readonly control: Proposer;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #writerName: string;
  readonly #logger: Logger;
  readonly #protections: Protections;
  readonly #appendBudget: TokenBucket;
  readonly #shards = new Map<number, { shard: ClaimShard; proposer: Proposer }>();
  readonly #writers: LogWriter[] = [];

  constructor(options: {
    client: LogClient;
    clock: Clock;
    random: Random;
    writerName: string;
    logger: Logger;
    protections: Protections;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#writerName = options.writerName;
    this.#logger = options.logger;
    this.client = options.client;
    this.#protections = options.protections;
    this.#appendBudget = new TokenBucket({
      clock: options.clock,
      ratePerS: DEFAULT_APPENDS_PER_S,
      burst: APPEND_BURST,
    });
    this.control = this.#newProposer(CONTROL_STREAM, this.#newFold(CONTROL_RETENTION_MS));
  }

  get appends(): number {
    return this.#writers.reduce((sum, writer) => sum + writer.appends, 0);
  }

  get reads(): number {
    return this.#getReaders().reduce((sum, reader) => sum + reader.reads, 0);
  }

  get claimKeys(): number {
    return [...this.#shards.values()].reduce((sum, { shard }) => sum + shard.keys, 0);
  }

  /** Sets the append rate of this process to its share of the fleet's rate. */
  setAppendShare(appendsPerS: number, liveProcesses: number): void {
    this.#appendBudget.setRate(appendsPerS / Math.max(1, liveProcesses));
  }

  newWriter(stream: string): LogWriter {
    const writer = new LogWriter({
      log: this.client,
      stream,
      clock: this.#clock,
      random: this.#random,
      writer: this.#writerName,
      budget: this.#appendBudget,
      onError: (message) => {
        this.#logger.debug(message, { step: "log_append", peer: "log" });
      },
    });
    this.#writers.push(writer);
    return writer;
  }

  /** Returns a claim shard; the first use starts to read its stream. */
  getShard(index: number, claimWindowMs: number): ClaimShard {
    const known = this.#shards.get(index);
    if (known) {
      return known.shard;
    }
    const fold = this.#newFold({ [RecordKind.Claim]: claimWindowMs });
    const proposer = this.#newProposer(getClaimStream(index), fold, true);
    proposer.reader.start();
    const shard = new ClaimShard({
      proposer,
      clock: this.#clock,
      protections: this.#protections,
    });
    this.#shards.set(index, { shard, proposer });
    return shard;
  }

  async stop(): Promise<void> {
    await Promise.all(this.#writers.map((writer) => writer.close()));
    await Promise.all(this.#getReaders().map((reader) => reader.stop()));
  }

  /** Stops without flushing, as a crash of the process would; for tests. */
  abort(): void {
    this.#writers.forEach((writer) => {
      writer.abort();
    });
    this.#getReaders().forEach((reader) => void reader.stop());
  }

  #newFold(retentionMs: Readonly<Record<string, number>>): RegisterFold {
    return new RegisterFold({ retentionMs, protections: this.#protections });
  }

  #getReaders(): FoldReader[] {
    const shards = [...this.#shards.values()].map(({ proposer }) => proposer.reader);
    return [this.control.reader, ...shards];
  }

  #newProposer(stream: string, fold: RegisterFold, skipsTrimmedEntries = false): Proposer {
    const reader = new FoldReader({
      log: this.client,
      stream,
      clock: this.#clock,
      fold,
      skipsTrimmedEntries: skipsTrimmedEntries,
      onError: (message) => {
        this.#logger.debug(message, { step: "log_read", peer: "log" });
      },
    });
    return new Proposer({
      writer: this.newWriter(stream),
      reader,
      clock: this.#clock,
      writerName: this.#writerName,
    });
  }
}
