import { z } from "zod";

import { RecordKind, type LogEntry, type LogRecord } from "./records.js";
import { BLOCK_TERM_MS, reducePoison } from "./poison.js";

const registerSchema = z.object({
  kind: z.string(),
  key: z.string(),
  version: z.number().int(),
  body: z.unknown(),
  offset: z.number().int(),
  timeMs: z.number(),
  writer: z.string(),
});
/** Versioned value for one kind and key, with the origin of its last change. */
export type Register = z.infer<typeof registerSchema>;

const writerSchema = z.object({ seq: z.number().int(), timeMs: z.number() });

/** Complete state of a fold after the entry at offset `asOf`. */
export const foldSnapshotSchema = z.object({
  asOf: z.number().int(),
  timeMs: z.number(),
  registers: z.array(registerSchema),
  writers: z.record(z.string(), writerSchema),
});
export type FoldSnapshot = z.infer<typeof foldSnapshotSchema>;

/** Retention by kind on the control stream; it must be the same in every process. */
export const CONTROL_RETENTION_MS: Readonly<Record<string, number>> = {
  [RecordKind.Poison]: BLOCK_TERM_MS,
};

/** Result of folding one record. */
export const Acceptance = {
  Accepted: "accepted",
  /** The record doesn't follow the current version of its register. */
  Conflict: "conflict",
  /** The writer's sequence number isn't new. */
  Duplicate: "duplicate",
} as const;
export type Acceptance = (typeof Acceptance)[keyof typeof Acceptance];

/** One folded record with its acceptance and the register after it. */
export interface FoldedRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly record: LogRecord;
  readonly acceptance: Acceptance;
  /** Register after the record; undefined for kinds without one. */
  readonly register: Register | undefined;
}

/** Protections of the fold, which tests disable to prove that they are needed. */
export interface FoldProtections {
  readonly sequenceDedup: boolean;
  readonly revisionCheck: boolean;
}

export interface RegisterFoldOptions {
  /** How long a register is kept after its last change, in log time, by kind. */
  readonly retentionMs?: Readonly<Partial<Record<string, number>>>;
  readonly protections?: Partial<FoldProtections>;
}

/** How long the last sequence number of a writer is kept after its last record, in log time. */
const WRITER_RETENTION_MS = 86_400_000;
const KINDS_WITHOUT_REGISTER: readonly string[] = [
  RecordKind.Note,
  RecordKind.Snapshot,
  RecordKind.Fates,
];
const registerId = (kind: string, key: string): string => `${kind}/${key}`;

const reduceBody = (kind: string, previous: unknown, body: unknown): unknown =>
  kind === RecordKind.Poison ? reducePoison(previous, body) : body;

/**
 * Folds log entries in offset order into versioned registers. A record is
 * accepted if its writer's sequence number is new and it follows the current
 * version of its register. Of several records that follow the same version,
 * every process accepts the first in log order.
 */
export class RegisterFold {
  readonly #registers = new Map<string, Register>();
  readonly #writers = new Map<string, z.infer<typeof writerSchema>>();
  readonly #retentionMs: Readonly<Partial<Record<string, number>>>;
  readonly #protections: FoldProtections;
  #nextOffset = 0;
  #timeMs = 0;

  constructor(options: RegisterFoldOptions = {}) {
    this.#retentionMs = options.retentionMs ?? {};
    this.#protections = { sequenceDedup: true, revisionCheck: true, ...options.protections };
  }

  /** Offset of the next entry to fold. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Log time of the last folded entry. */
  get timeMs(): number {
    return this.#timeMs;
  }

  get size(): number {
    return this.#registers.size;
  }

  getRegister(kind: string, key: string): Register | undefined {
    return this.#registers.get(registerId(kind, key));
  }

  /** Current version of a register; 0 if it doesn't exist. */
  getVersion(kind: string, key: string): number {
    return this.getRegister(kind, key)?.version ?? 0;
  }

  getRegistersOfKind(kind: string): Register[] {
    return [...this.#registers.values()].filter((register) => register.kind === kind);
  }

  /** Folds one entry; ignores entries that were folded before. */
  applyEntry(entry: LogEntry): FoldedRecord[] {
    if (entry.offset < this.#nextOffset) {
      return [];
    }
    this.#nextOffset = entry.offset + 1;
    this.#timeMs = Math.max(this.#timeMs, entry.timeMs);
    const folded = entry.records.map((record) => this.#applyRecord(entry, record));
    this.#evictExpired();
    return folded;
  }

  getSnapshot(): FoldSnapshot {
    return {
      asOf: this.#nextOffset - 1,
      timeMs: this.#timeMs,
      registers: [...this.#registers.values()],
      writers: Object.fromEntries(this.#writers),
    };
  }

  /** Replaces the state by a snapshot's; returns false if the snapshot isn't newer. */
  applySnapshot(snapshot: FoldSnapshot): boolean {
    if (snapshot.asOf < this.#nextOffset) {
      return false;
    }
    this.#registers.clear();
    this.#writers.clear();
    for (const register of snapshot.registers) {
      this.#registers.set(registerId(register.kind, register.key), register);
    }
    for (const [writer, last] of Object.entries(snapshot.writers)) {
      this.#writers.set(writer, last);
    }
    this.#nextOffset = snapshot.asOf + 1;
    this.#timeMs = Math.max(this.#timeMs, snapshot.timeMs);
    return true;
  }

  #applyRecord(entry: LogEntry, record: LogRecord): FoldedRecord {
    const { kind, key, body } = record;
    const old = this.getRegister(kind, key);
    const acceptance = this.#getAcceptance(record, old);
    const last = this.#writers.get(record.writer);
    this.#writers.delete(record.writer);
    this.#writers.set(record.writer, {
      seq: Math.max(record.seq, last?.seq ?? 0),
      timeMs: entry.timeMs,
    });
    const base = { offset: entry.offset, timeMs: entry.timeMs, record, acceptance };
    if (acceptance !== Acceptance.Accepted || KINDS_WITHOUT_REGISTER.includes(kind)) {
      return { ...base, register: old };
    }
    const register: Register = {
      kind,
      key,
      version: (old?.version ?? 0) + 1,
      body: reduceBody(kind, old?.body, body),
      offset: entry.offset,
      timeMs: entry.timeMs,
      writer: record.writer,
    };
    // Re-insertion keeps the map in order of last change, which eviction relies on.
    this.#registers.delete(registerId(kind, key));
    this.#registers.set(registerId(kind, key), register);
    return { ...base, register };
  }

  #getAcceptance(record: LogRecord, old: Register | undefined): Acceptance {
    const last = this.#writers.get(record.writer);
    if (this.#protections.sequenceDedup && last && record.seq <= last.seq) {
      return Acceptance.Duplicate;
    }
    if (!this.#protections.revisionCheck || record.follows === null) {
      return Acceptance.Accepted;
    }
    return record.follows === (old?.version ?? 0) ? Acceptance.Accepted : Acceptance.Conflict;
  }

  #evictExpired(): void {
    for (const [writer, last] of this.#writers) {
      if (last.timeMs > this.#timeMs - WRITER_RETENTION_MS) {
        break;
      }
      this.#writers.delete(writer);
    }
    for (const [id, register] of this.#registers) {
      const retentionMs = this.#retentionMs[register.kind];
      if (retentionMs === undefined) {
        continue;
      }
      // Registers are in order of last change and at most one kind has a retention, so
      // no later register has expired.
      if (register.timeMs > this.#timeMs - retentionMs) {
        break;
      }
      this.#registers.delete(id);
    }
  }
}
