import type { Acceptance } from "@lycheepulley/core";
import {
  CONTROL_RETENTION_MS,
  RecordKind,
  RegisterFold,
  type FoldedRecord,
  type LogEntry,
} from "@lycheepulley/core";
import type { LogClient } from "@lycheepulley/log";
import { CONTROL_STREAM } from "@lycheepulley/serving";
import { z } from "zod";

/** Entries per read. */
const READ_PAGE_ENTRIES = 256;

/** One line of the audit trail: a record of the control stream and its outcome. */
export interface AuditLine {
  readonly offset: number;
  readonly at: string;
  readonly writer: string;
  readonly action: string;
  readonly subject: string;
  /** Register version after the change; 0 if the record has no register. */
  readonly revision: number;
  readonly outcome: string;
  readonly detail: string;
}

const noteSchema = z.looseObject({ action: z.string(), outcome: z.string().optional() });
const actionSchema = z.looseObject({ action: z.string() });
const configSchema = z.object({ changeId: z.string(), by: z.string(), note: z.string() });

/** Reads the retained part of the control stream, in log order. */
export const readControlHistory = async (log: LogClient): Promise<AuditLine[]> => {
  const { first, end } = await log.fetchExtent(CONTROL_STREAM);
  const fold = new RegisterFold({ retentionMs: CONTROL_RETENTION_MS });
  if (first > 0) {
    // Earlier entries are no longer retained: start from an empty state before the first one.
    fold.applySnapshot({ asOf: first - 1, timeMs: 0, registers: [], writers: {} });
  }
  const lines: AuditLine[] = [];
  for (let from = first; from < end;) {
    const page = await log.read(CONTROL_STREAM, from, { limit: READ_PAGE_ENTRIES, waitMs: 0 });
    if (page.entries.length === 0) {
      break;
    }
    page.entries.forEach((entry) => {
      lines.push(...foldEntry(fold, entry));
    });
    from += page.entries.length;
  }
  return lines;
};

/** Applies an entry; snapshots are applied too, but not listed. */
const foldEntry = (fold: RegisterFold, entry: LogEntry): AuditLine[] => {
  const snapshots = entry.records.filter(({ kind }) => kind === RecordKind.Snapshot);
  return fold
    .applyEntry(entry)
    .filter(({ record }) => !snapshots.includes(record))
    .map((folded) => toAuditLine(folded));
};

const toAuditLine = ({
  offset,
  timeMs,
  record,
  acceptance,
  register,
}: FoldedRecord): AuditLine => ({
  offset,
  at: new Date(timeMs).toISOString(),
  writer: record.writer,
  subject: `${record.kind} ${record.key}`,
  revision: register?.version ?? 0,
  ...describeRecord(record.kind, record.body, acceptance),
});

const describeRecord = (
  kind: string,
  body: unknown,
  acceptance: Acceptance,
): Pick<AuditLine, "action" | "outcome" | "detail"> => {
  if (kind === RecordKind.Config) {
    const { by = "", note = "", changeId = "" } = configSchema.safeParse(body).data ?? {};
    return { action: `change by ${by}`, outcome: acceptance, detail: `${changeId} ${note}` };
  }
  if (kind === RecordKind.Note) {
    const { action, outcome, ...rest } = noteSchema.safeParse(body).data ?? { action: kind };
    return { action, outcome: outcome ?? acceptance, detail: JSON.stringify(rest) };
  }
  const action = actionSchema.safeParse(body).data?.action ?? kind;
  return { action, outcome: acceptance, detail: JSON.stringify(body) };
};
