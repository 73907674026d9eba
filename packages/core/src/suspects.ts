import { MAX_STRIKES } from "./folds/poison.js";

/** How requests with a fingerprint are scheduled. */
export const Suspicion = {
  /** Shares an upstream with other requests. */
  None: "none",
  /** Runs alone on an upstream. */
  Suspect: "suspect",
  /** Rejected. */
  Blocked: "blocked",
} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

/** Suspicion of a fingerprint with this many strikes. */
export const getSuspicion = (strikes: number): Suspicion => {
  if (strikes >= MAX_STRIKES) {
    return Suspicion.Blocked;
  }
  return strikes > 0 ? Suspicion.Suspect : Suspicion.None;
};

/** A request that was in flight on an upstream when the upstream died. */
export interface RequestAtCrash {
  readonly fingerprint: string;
  /** True if the request ran alone on the upstream. */
  readonly wasAlone: boolean;
}

/**
 * Fingerprints that get a strike after an upstream died. A request that ran
 * alone caused the crash and always gets one. Among several in-flight requests
 * any may be the cause, so only fingerprints without a strike get one.
 */
export const findFingerprintsToStrike = (
  requests: readonly RequestAtCrash[],
  getStrikes: (fingerprint: string) => number,
): string[] => {
  const struck = requests.filter(
    ({ fingerprint, wasAlone }) => wasAlone || getStrikes(fingerprint) === 0,
  );
  return [...new Set(struck.map(({ fingerprint }) => fingerprint))];
};
