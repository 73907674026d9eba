import type { Clock } from "@lycheepulley/core";

import type { CrashEvidence, CrashReport } from "./CrashEvidence.js";

/** Time after which a trial whose end wasn't told counts as ended. */
const TRIAL_TERM_MS = 10_000;
/** Time after which to ask again while another trial is in progress. */
const IN_PROGRESS_RETRY_MS = 1_000;

/**
 * Time for which the process that had the last trial is refused the next one, so that one which can't
 * reach an upstream doesn't keep the others from it.
 */
const SAME_PROCESS_PAUSE_MS = 2_000;

/** Which trial of a part or a request is meant. */
export interface TrialKey {
  /** The part, or the request's fingerprint. */
  readonly key: string;
  /** Differs between requests for trials; undefined from processes of an earlier build. */
  readonly id: string | undefined;
}

/** A request for the trial of a part or a request. */
export interface TrialRequest extends TrialKey {
  /** All shared parts of the request. */
  readonly parts: readonly string[];
  /** Its fingerprint; undefined from processes of an earlier build. */
  readonly request: string | undefined;
  /** What the asking process knows about these. */
  readonly report: CrashReport;
}

interface Trial {
  readonly host: string;
  readonly id: string | undefined;
  readonly untilMs: number;
}

/** Answer to a process that asks for a trial. */
export interface TrialAnswer {
  readonly isGranted: boolean;
  /** Time after which to ask again, milliseconds. */
  readonly retryMs: number;
}

/** Grants trials of suspect parts and requests for all processes: one at a time for each. */
export class TrialOwner {
  readonly #clock: Clock;
  readonly #evidence: CrashEvidence;
  /** Trials in progress, with the ends of their terms. */
  readonly #trials = new Map<string, Trial>();
  /** Processes that had the last trials, with the ends of their pauses. */
  readonly #paused = new Map<string, { readonly host: string; readonly untilMs: number }>();

  constructor(options: { clock: Clock; evidence: CrashEvidence }) {
    this.#clock = options.clock;
    this.#evidence = options.evidence;
  }

  /**
   * Grants a trial of `key` to a process for a request with `parts`, unless one is in progress or
   * the request is blocked.
   */
  take(host: string, { key, parts, request, id }: Omit<TrialRequest, "report">): TrialAnswer {
    const now = this.#clock.now();
    forgetEnded(this.#trials, now);
    forgetEnded(this.#paused, now);
    const { blocked } = this.#evidence.getStanding(parts, request);
    if (blocked) {
      return { isGranted: false, retryMs: blocked.untilMs - now };
    }
    if (this.#trials.has(key) || this.#paused.get(key)?.host === host) {
      return { isGranted: false, retryMs: IN_PROGRESS_RETRY_MS };
    }
    this.#trials.set(key, { host, id, untilMs: now + TRIAL_TERM_MS });
    return { isGranted: true, retryMs: 0 };
  }

  /** Ends a trial, unless another one is in progress by now. */
  end({ key, id }: TrialKey): void {
    const trial = this.#trials.get(key);
    if (trial && (id === undefined || trial.id === id)) {
      this.#trials.delete(key);
      const untilMs = this.#clock.now() + SAME_PROCESS_PAUSE_MS;
      this.#paused.set(key, { host: trial.host, untilMs });
    }
  }
}

const forgetEnded = (map: Map<string, { readonly untilMs: number }>, now: number): void => {
  for (const [key, { untilMs }] of map) {
    if (untilMs <= now) {
      map.delete(key);
    }
  }
};
