import { MAX_STRIKES } from "./folds/poison.js";

/** How a fingerprint must be treated. */
export const Suspicion = {
  /** Runs beside others. */
  None: "none",
  /** Runs alone on one upstream. */
  Suspect: "suspect",
  /** Doesn't run. */
  Blocked: "blocked",
} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

/** Treatment that a number of strikes demands. */
export const getSuspicion = (strikes: number): Suspicion => {
  if (strikes >= MAX_STRIKES) {
    return Suspicion.Blocked;
  }
  return strikes > 0 ? Suspicion.Suspect : Suspicion.None;
};

/** A request that was on an upstream when it died. */
export interface RequestAtCrash {
  readonly fingerprint: string;
  readonly wasAlone: boolean;
}

/**
 * Fingerprints to strike after an upstream's death. A suspect that ran alone
 * is guilty; one that died in company gains no second strike.
 */
export const findFingerprintsToStrike = (
  bystanders: readonly RequestAtCrash[],
  getStrikes: (fingerprint: string) => number,
): string[] => {
  const strikes = bystanders.filter(
    ({ fingerprint, wasAlone }) => wasAlone || getStrikes(fingerprint) === 0,
  );
  return [...new Set(strikes.map(({ fingerprint }) => fingerprint))];
};
