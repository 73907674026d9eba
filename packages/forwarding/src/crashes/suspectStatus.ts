import { SuspectKind, type Assessment } from "./assessLosses.js";

/** Losses after which a part or a request is blocked. */
const BLOCKING_LOSSES = 3;
/** Losses from which on chance is an unlikely cause. */
const REPEATED_LOSSES = 2;
/** Losses under one that was sound before count only when they span this time, in which others get sound answers. */
const PROVEN_SPAN_MS = 2_000;
/** Time from the last loss to the next trial of a blocked one; it doubles with each loss. */
const FIRST_BLOCK_MS = 30_000;
/** Failed trials after which the next one waits for the longest time. */
const MAX_FREQUENT_TRIALS = 3;
const MAX_BLOCK_MS = 3_600_000;
/** Times after which losses are forgotten that block nothing. */
const PART_MEMORY_MS = 60_000;
const REQUEST_MEMORY_MS = 3_600_000;
/** Time from the last loss after which a block is forgotten. */
const BLOCK_MEMORY_MS = 86_400_000;

/** How requests with a part, or equal requests, are treated. */
export const SuspectStatus = {
  /** One trial at a time, in all processes together. */
  Suspect: "suspected",
  /** Not sent but for rare trials. */
  Blocked: "blocked",
} as const;
export type SuspectStatus = (typeof SuspectStatus)[keyof typeof SuspectStatus];

/** Status by the losses; undefined for what is sent freely, as requests are until they are blocked. */
export const getStatus = ({ kind, lost, isProven }: Assessment): SuspectStatus | undefined => {
  const spanMs = (lost.at(-1)?.atMs ?? 0) - (lost[0]?.atMs ?? 0);
  if (lost.length >= BLOCKING_LOSSES && (!isProven || spanMs >= PROVEN_SPAN_MS)) {
    return SuspectStatus.Blocked;
  }
  return isProven || kind === SuspectKind.Request ? undefined : SuspectStatus.Suspect;
};

/** True when the evidence is worth more than the processes that have it. */
export const isRepeated = (assessment: Assessment): boolean =>
  assessment.lost.length >= REPEATED_LOSSES &&
  (assessment.kind === SuspectKind.Request || getStatus(assessment) !== undefined);

const getBlockMs = ({ lost }: Assessment): number => {
  const failedTrials = Math.max(0, lost.length - BLOCKING_LOSSES);
  return failedTrials < MAX_FREQUENT_TRIALS ? FIRST_BLOCK_MS * 2 ** failedTrials : MAX_BLOCK_MS;
};

const getLastLostMs = ({ lost }: Assessment): number => lost.at(-1)?.atMs ?? 0;

/** Monotonic time of the next trial of a blocked part or request. */
export const getBlockedUntilMs = (assessment: Assessment): number =>
  getLastLostMs(assessment) + getBlockMs(assessment);

/** Monotonic time until which a loss at `lostMs` counts against one that it accuses or names. */
export const getKeptUntilMs = (
  lostMs: number,
  kind: SuspectKind,
  assessment: Assessment | undefined,
): number => {
  if (assessment && getStatus(assessment) === SuspectStatus.Blocked) {
    return getLastLostMs(assessment) + BLOCK_MEMORY_MS;
  }
  return lostMs + (kind === SuspectKind.Request ? REQUEST_MEMORY_MS : PART_MEMORY_MS);
};
