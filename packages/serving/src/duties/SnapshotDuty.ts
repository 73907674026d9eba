import { RecordKind, type Cancel, type Clock, type LogEntry } from "@lycheepulley/core";
import type { Proposer } from "@lycheepulley/log";

import type { LeaseManager } from "./LeaseManager.js";

const CHECK_INTERVAL_MS = 1_000;
/**
 * Number of entries after a snapshot that triggers a new one, so that a starting process reads few.
 */
const MAX_TAIL_ENTRIES = 500;
/** Age of the last snapshot that triggers a new one, as a share of the log's retention. */
const RETENTION_SHARE = 0.25;

/** Appends snapshots of the agreed state, well before the log's retention drops older records. */
export class SnapshotDuty {
  readonly #lease: LeaseManager;
  readonly #proposer: Proposer;
  readonly #clock: Clock;
  readonly #getRetentionMs: () => number;
  #cancel: Cancel | undefined;
  #lastSnapshotMs: number;
  #tailEntries = 0;
  #snapshots = 0;

  constructor(options: {
    lease: LeaseManager;
    proposer: Proposer;
    clock: Clock;
    getRetentionMs: () => number;
  }) {
    this.#lease = options.lease;
    this.#proposer = options.proposer;
    this.#clock = options.clock;
    this.#getRetentionMs = options.getRetentionMs;
    this.#lastSnapshotMs = options.clock.now();
    void options.proposer.reader.entries.observe((entry) => {
      this.#onEntry(entry);
    });
    this.#schedule();
  }

  /** Number of snapshots that this process appended. */
  get snapshots(): number {
    return this.#snapshots;
  }

  stop(): void {
    this.#cancel?.();
  }

  #onEntry(entry: LogEntry): void {
    this.#tailEntries += 1;
    if (entry.records.some((record) => record.kind === RecordKind.Snapshot)) {
      this.#tailEntries = 0;
      this.#lastSnapshotMs = this.#clock.now();
    }
  }

  #schedule(): void {
    this.#cancel = this.#clock.setTimer(() => {
      this.#check();
      this.#schedule();
    }, CHECK_INTERVAL_MS);
  }

  #check(): void {
    const ageMs = this.#clock.now() - this.#lastSnapshotMs;
    const isOld = ageMs > this.#getRetentionMs() * RETENTION_SHARE;
    const isLong = this.#tailEntries > MAX_TAIL_ENTRIES;
    if ((isOld || isLong) && this.#lease.epoch !== undefined) {
      this.#append();
    }
  }

  #append(): void {
    const { reader, writer } = this.#proposer;
    this.#lastSnapshotMs = this.#clock.now();
    this.#tailEntries = 0;
    this.#snapshots += 1;
    writer.submit({
      kind: RecordKind.Snapshot,
      key: "control",
      follows: null,
      body: reader.fold.getSnapshot(),
    });
  }
}
