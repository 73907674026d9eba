import { z } from "zod";

/**
 * One record of the platform's log. Acceptance depends only on these fields,
 * which every version of the program reads; `body` belongs to the kind.
 */
export const recordSchema = z.object({
  v: z.number().int(),
  kind: z.string(),
  key: z.string(),
  /** Version of the register that this record follows; null appends anyway. */
  follows: z.number().int().nullable(),
  /** Process name and incarnation. */
  writer: z.string(),
  /** Grows with every record of the writer on one stream. */
  seq: z.number().int(),
  body: z.unknown(),
});
export type LogRecord = z.infer<typeof recordSchema>;

/** One append of the log: an offset, the log's own time, and its records. */
export interface LogEntry {
  readonly offset: number;
  /** Log service's time of the append, milliseconds since the epoch. */
  readonly timeMs: number;
  readonly records: readonly LogRecord[];
}

/** A record before its writer has given it a sequence number. */
export type Draft = Pick<LogRecord, "kind" | "key" | "follows" | "body">;

export const RECORD_VERSION = 1;

/** Kinds of records on the log. */
export const RecordKind = {
  Config: "config",
  Lease: "lease",
  Claim: "claim",
  Poison: "poison",
  /** Audit line that no register needs. */
  Note: "note",
  Snapshot: "snapshot",
  Fates: "fates",
} as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

const recordsSchema = z.array(recordSchema);

/** Reads the records of one append; an append that isn't ours has none. */
export const parseRecords = (data: string): LogRecord[] => {
  try {
    const parsed = recordsSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : [];
  } catch {
    return [];
  }
};
