import { LeaseAction, RecordKind, Step, type LogRecord } from "@lycheepulley/core";

import { RequestKind } from "./Caller.js";

/** Steps of the request path; each is a row of the matrix. */
export const REQUEST_STEPS = [
  "accept",
  "classify",
  "admit",
  "queue",
  "claim append",
  "claim read-back",
  "reserve",
  "connect",
  "bytes sent",
  "first token",
  "mid-stream",
  "last chunk",
  "outcome append",
  "reply",
] as const;
export type RequestStep = (typeof REQUEST_STEPS)[number];

/**
 * Trace step that each row stands for. The caller, not the trace, observes "mid-stream" and
 * "reply".
 */
export const TRACE_STEP_BY_REQUEST_STEP: Readonly<Partial<Record<RequestStep, string>>> = {
  accept: Step.Accept,
  classify: Step.Classify,
  admit: Step.Admit,
  queue: Step.Queue,
  "claim append": Step.ClaimAppend,
  "claim read-back": Step.ClaimReadBack,
  reserve: Step.Reserve,
  connect: Step.Connect,
  "bytes sent": Step.Send,
  "first token": Step.FirstToken,
  "last chunk": Step.LastChunk,
  "outcome append": Step.OutcomeAppend,
};

const CLAIM_STEPS: readonly RequestStep[] = ["claim append", "claim read-back", "outcome append"];
const ENGINE_STEPS: readonly RequestStep[] = [
  "admit",
  "queue",
  "reserve",
  "first token",
  "mid-stream",
  "last chunk",
];

/** Why a kind of request never takes a step; undefined when it does. */
export const getAbsenceReason = (kind: RequestKind, step: RequestStep): string | undefined => {
  if (kind === RequestKind.Prompt && CLAIM_STEPS.includes(step)) {
    return "an idempotent prompt makes no claim";
  }
  if (kind === RequestKind.Save && ENGINE_STEPS.includes(step)) {
    return "a call to a plain service takes no capacity of an engine";
  }
  return undefined;
};

/** Steps of control actions; each is a row of the matrix. */
export const CONTROL_STEPS = [
  "lease claim",
  "lease renewal",
  "order",
  "order answer",
  "configuration publish",
  "configuration read-back",
  "configuration apply",
  "drain",
  "snapshot",
] as const;
export type ControlStep = (typeof CONTROL_STEPS)[number];

const isLeaseRecord = (record: LogRecord, action: string): boolean =>
  record.kind === RecordKind.Lease && (record.body as { action: string }).action === action;

/**
 * Control steps that are the append of a record: before (`append`) or after it took effect
 * (`appended`).
 */
export const RECORD_BY_STEP: Readonly<
  Partial<
    Record<ControlStep, { when: "append" | "appended"; matches: (record: LogRecord) => boolean }>
  >
> = {
  "lease claim": { when: "append", matches: (record) => isLeaseRecord(record, LeaseAction.Claim) },
  "lease renewal": {
    when: "append",
    matches: (record) => isLeaseRecord(record, LeaseAction.Renew),
  },
  "configuration publish": { when: "append", matches: ({ kind }) => kind === RecordKind.Config },
  "configuration read-back": {
    when: "appended",
    matches: ({ kind }) => kind === RecordKind.Config,
  },
  snapshot: { when: "append", matches: ({ kind }) => kind === RecordKind.Snapshot },
};
