import type { EngineView } from "@lycheepulley/core";
import type { EngineLoad } from "@lycheepulley/engines";

import type { HeldGrant } from "./types.js";

/** Whether an engine lives, as far as its owner can tell. */
export const EngineHealth = {
  Live: "live",
  /** A stream broke; the engine is being asked whether it still lives. */
  Probing: "probing",
  Dead: "dead",
} as const;
export type EngineHealth = (typeof EngineHealth)[keyof typeof EngineHealth];

/** A grant on an engine, with what its owner tracks. */
export interface TrackedGrant extends HeldGrant {
  /** Process that uses the grant. */
  readonly holder: string;
  renewedMs: number;
  hasFirstToken: boolean;
  /** Prompt tokens that, by estimate, are not yet computed. */
  remainingPrefillTokens: number;
  /** Its stream broke and the engine's fate isn't known yet. */
  isBroken: boolean;
}

export interface EngineCapacity {
  readonly kvTokens: number;
  readonly maxStreams: number;
  readonly prefillTokensPerS: number;
}

const MS_PER_S = 1_000;

/** What the owner of a pool knows of one engine and has granted on it. */
export class TrackedEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly grants = new Map<string, TrackedGrant>();
  health: EngineHealth = EngineHealth.Live;
  /** The VM list says that the engine leaves. */
  isListedLeaving = false;
  /** The engine itself said that it takes no work. */
  isRejectingWork = false;
  /** Incarnation that the engine reported last; empty before its first report. */
  incarnation = "";
  /** Reserved for a suspect that runs alone once the engine is empty. */
  isolatedFor: string | undefined;
  /** Fingerprints struck when the engine was taken for dead. */
  struckFingerprints: readonly string[] = [];
  load: EngineLoad | undefined;
  #capacity: EngineCapacity | undefined;
  #drainedMs = 0;

  constructor(options: { name: string; failureDomain: string }) {
    this.name = options.name;
    this.failureDomain = options.failureDomain;
  }

  /** Tells whether the engine takes new work of a model. */
  isOpen(model: string, isLeavingChecked = true): boolean {
    const isLeaving = isLeavingChecked && (this.isListedLeaving || this.isRejectingWork);
    const served = this.load?.model ?? model;
    return this.health === EngineHealth.Live && !isLeaving && served === model;
  }

  /** Tells whether an equal prompt runs here. */
  runsFingerprint(fingerprint: string): boolean {
    for (const grant of this.grants.values()) {
      if (grant.fingerprint === fingerprint) {
        return true;
      }
    }
    return false;
  }

  setCapacity(capacity: EngineCapacity): void {
    this.#capacity = capacity;
  }

  add(grant: TrackedGrant, nowMs: number): void {
    this.advancePrefill(nowMs);
    this.grants.set(grant.id, grant);
  }

  /** Lets the estimated prefill of granted prompts advance to `nowMs`. */
  advancePrefill(nowMs: number): void {
    const rate = this.#capacity?.prefillTokensPerS ?? 0;
    let tokens = ((nowMs - this.#drainedMs) * rate) / MS_PER_S;
    this.#drainedMs = nowMs;
    for (const grant of this.grants.values()) {
      const done = Math.min(tokens, grant.remainingPrefillTokens);
      grant.remainingPrefillTokens -= done;
      tokens -= done;
    }
  }

  getView(nowMs: number, longPromptTokens: number): EngineView {
    this.advancePrefill(nowMs);
    const grants = [...this.grants.values()];
    const isLong = (grant: TrackedGrant): boolean => grant.promptTokens >= longPromptTokens;
    const tokens = sum(grants, (grant) => grant.promptTokens + grant.outputTokens);
    return {
      name: this.name,
      failureDomain: this.failureDomain,
      requests: grants.length,
      prefillBacklogTokens: sum(grants, (grant) => grant.remainingPrefillTokens),
      outstandingTokens: tokens,
      kvPromisedTokens: tokens,
      kvTotalTokens: this.#capacity?.kvTokens ?? 0,
      maxStreams: this.#capacity?.maxStreams ?? 0,
      longPrefills: grants.filter((grant) => isLong(grant) && !grant.hasFirstToken).length,
      longRequests: grants.filter(isLong).length,
      prefillTokensPerS: this.#capacity?.prefillTokensPerS ?? 1,
    };
  }
}

const sum = <T>(items: readonly T[], getValue: (item: T) => number): number =>
  items.reduce((total, item) => total + getValue(item), 0);
