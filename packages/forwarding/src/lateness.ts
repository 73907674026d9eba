/** Share of its value that an answer loses when it misses an objective. */
export const LATE_LOSS = 0.75;
/** Share of an objective from which it is at risk. */
const RISK_SHARE = 0.85;
/** Weight of the time to the first event while it is within its objective. */
const SPEED_WEIGHT = 0.25;

/** What a request still has to gain, and until when. */
export interface Prospect {
  /** Time left until the objective for the first event, milliseconds. */
  readonly targetLeftMs: number;
  /** Time left until the first event comes too late for the whole answer, milliseconds. */
  readonly deadlineLeftMs: number;
  /** Estimated worth of the answer to its caller. */
  readonly value: number;
}

/** Share of its worth that a request keeps for each rank by which others of its pool go before it. */
const RANK_WEIGHT = 0.5;

/** Weight of a priority at a distance from the most urgent one of its pool. */
export const getRankWeight = (rank = 0): number => RANK_WEIGHT ** rank;

/**
 * Estimated worth of a prompt; a short one of the most urgent priority in its pool is worth about 1.
 * `rank` is the distance of its priority from that one.
 */
export const estimateValue = (tokens: number, rank = 0): number =>
  (1 + tokens / 10_000) * getRankWeight(rank);

/** Risk of missing an objective: 0 while `ms` is well within `limitMs`, 1 at the limit and beyond. */
export const getLateRisk = (ms: number, limitMs: number): number => {
  if (limitMs <= 0) {
    return 1;
  }
  const start = limitMs * RISK_SHARE;
  return Math.min(1, Math.max(0, (ms - start) / (limitMs - start)));
};

/** Expected loss when the first event comes after `ms`: most of the value at the objective, the rest at the deadline. */
export const getLatenessLoss = (prospect: Prospect, ms: number): number =>
  prospect.value *
  (LATE_LOSS * getLateRisk(ms, prospect.targetLeftMs) +
    (1 - LATE_LOSS) * getLateRisk(ms, prospect.deadlineLeftMs));

/**
 * Cost of taking `ms` of the time left, as the rest may be needed. A request that
 * missed its objective can only lose what a late answer is worth, so it must not
 * outbid requests that are still on time.
 */
export const getDelayCost = (prospect: Prospect, ms: number): number => {
  const { targetLeftMs, deadlineLeftMs, value } = prospect;
  return targetLeftMs > 0
    ? value * Math.min(1, ms / targetLeftMs)
    : (1 - LATE_LOSS) * value * Math.min(1, ms / Math.max(1, deadlineLeftMs));
};

/** The part of {@link getDelayCost} that counts for a request's own placement. */
export const getOwnDelayCost = (prospect: Prospect, ms: number): number =>
  SPEED_WEIGHT * getDelayCost(prospect, ms);
