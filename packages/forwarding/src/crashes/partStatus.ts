import type { PartAssessment } from "./assessParts.js";

/** Losses after which a part is blocked. */
const BLOCKING_LOSSES = 3;
/** Losses of a part that was sound before count only when they span this time, in which others get sound answers. */
const PROVEN_SPAN_MS = 2_000;
/** Time from the last loss to the next trial of a blocked part; it doubles with each loss. */
const FIRST_BLOCK_MS = 30_000;
const MAX_BLOCK_MS = 3_600_000;
/** Time after which losses are forgotten that block no part. */
const MEMORY_MS = 60_000;
/** A block is forgotten when no request was there for a trial within this many intervals. */
const BLOCK_MEMORY_INTERVALS = 2;

/** How requests with a part are treated. */
export const PartStatus = {
  /** One trial at a time, in all processes together. */
  Suspect: "suspected",
  /** Not sent but for rare trials. */
  Blocked: "blocked",
} as const;
export type PartStatus = (typeof PartStatus)[keyof typeof PartStatus];

/** Status by the losses of a part; undefined for one that is sent freely. */
export const getStatus = ({ lost, isProven }: PartAssessment): PartStatus | undefined => {
  const spanMs = (lost.at(-1)?.atMs ?? 0) - (lost[0]?.atMs ?? 0);
  if (lost.length >= BLOCKING_LOSSES && (!isProven || spanMs >= PROVEN_SPAN_MS)) {
    return PartStatus.Blocked;
  }
  return isProven ? undefined : PartStatus.Suspect;
};

const getBlockMs = ({ lost }: PartAssessment): number =>
  Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** Math.max(0, lost.length - BLOCKING_LOSSES));

/** Monotonic time of the next trial of a blocked part. */
export const getBlockedUntilMs = (assessment: PartAssessment): number =>
  (assessment.lost.at(-1)?.atMs ?? 0) + getBlockMs(assessment);

/** Monotonic time until which a loss at `lostMs` is kept, by the parts that it accuses. */
export const getKeptUntilMs = (lostMs: number, accused: readonly PartAssessment[]): number => {
  const blocked = accused.filter((part) => getStatus(part) === PartStatus.Blocked);
  const ends = blocked.map(
    (part) => (part.lost.at(-1)?.atMs ?? 0) + BLOCK_MEMORY_INTERVALS * getBlockMs(part),
  );
  return Math.max(lostMs + MEMORY_MS, ...ends);
};
