import { z } from "zod";

/**
 * One record of the platform's log. Acceptance depends only on these fields,
 * which every version of the program reads; the format of `body` depends on the
 * kind.
 */
export const recordSchema = z.object({
  v: z.number().int(),
  kind: z.string(),
  key: z.string(),
  /** Version that the register must have; null accepts any. */
  follows: z.number().int().nullable(),
  /** Process name and incarnation. */
  writer: z.string(),
  /** Sequence number; increases with every record of the writer on one stream. */
  seq: z.number().int(),
  body: z.unknown(),
});
export type LogRecord = z.infer<typeof recordSchema>;

/** One append of the log: an offset, the log's own time, and its records. */
export interface LogEntry {
  readonly offset: number;
  /** Time of the append by the log service's clock, milliseconds since the epoch. */
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
  /** Failure domain that an operator evacuates. */
  Evacuation: "evacuation",
  /** Audit record without a register. */
  Note: "note",
  Snapshot: "snapshot",
  Fates: "fates",
} as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

const recordsSchema = z.array(recordSchema);

/** Parses the records of one append; returns none if the data isn't in this format. */
export const parseRecords = (data: string): LogRecord[] => {
  try {
    const parsed = recordsSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : [];
  } catch {
    return [];
  }
};
