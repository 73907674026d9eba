import type { Clock } from "@lycheepulley/core";

import type { CrashEvidence } from "./CrashEvidence.js";

/** Time after which a trial whose end wasn't told counts as ended. */
const TRIAL_TERM_MS = 10_000;
/** Time after which to ask again while another trial is in progress. */
const IN_PROGRESS_RETRY_MS = 1_000;

/** Answer to a process that asks for a trial. */
export interface TrialAnswer {
  readonly isGranted: boolean;
  /** Time after which to ask again, milliseconds. */
  readonly retryMs: number;
}

/** Grants trials of suspect parts for all processes: one at a time for each part. */
export class TrialOwner {
  readonly #clock: Clock;
  readonly #evidence: CrashEvidence;
  /** Ends of the terms of the trials in progress. */
  readonly #trials = new Map<string, number>();

  constructor(options: { clock: Clock; evidence: CrashEvidence }) {
    this.#clock = options.clock;
    this.#evidence = options.evidence;
  }

  /** Grants a trial of `part` by a request with `parts`, unless one is in progress or the part is blocked. */
  take(part: string, parts: readonly string[]): TrialAnswer {
    const now = this.#clock.now();
    this.#forgetEnded(now);
    const { blocked } = this.#evidence.getStanding(parts);
    if (blocked) {
      return { isGranted: false, retryMs: blocked.untilMs - now };
    }
    if (this.#trials.has(part)) {
      return { isGranted: false, retryMs: IN_PROGRESS_RETRY_MS };
    }
    this.#trials.set(part, now + TRIAL_TERM_MS);
    return { isGranted: true, retryMs: 0 };
  }

  end(part: string): void {
    this.#trials.delete(part);
  }

  #forgetEnded(now: number): void {
    for (const [part, endMs] of this.#trials) {
      if (endMs <= now) {
        this.#trials.delete(part);
      }
    }
  }
}
