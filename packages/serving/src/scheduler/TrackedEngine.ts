import type { EngineView } from "@lycheepulley/core";
import type { EngineLoad } from "@lycheepulley/engines";

import type { HeldGrant } from "./types.js";

/** Liveness of an engine as the pool's owner sees it. */
export const EngineHealth = {
  Live: "live",
  /** A stream broke or a load report failed; a probe is under way, and the engine gets no work. */
  Probing: "probing",
  Dead: "dead",
} as const;
export type EngineHealth = (typeof EngineHealth)[keyof typeof EngineHealth];

/** A grant with the state that the pool's owner keeps for it. */
export interface TrackedGrant extends HeldGrant {
  /** Process that holds the grant. */
  readonly holder: string;
  renewedMs: number;
  hasFirstToken: boolean;
  /** Estimated prompt tokens whose prefill isn't done. */
  remainingPrefillTokens: number;
  /** The holder's stream broke, and a probe hasn't yet told whether the engine died. */
  isBroken: boolean;
}

export interface EngineCapacity {
  readonly kvTokens: number;
  readonly maxStreams: number;
  readonly prefillTokensPerS: number;
}

const MS_PER_S = 1_000;
/** Time after an evacuation within which the work of an engine returns. */
const RETURN_MS = 4_000;

/** State and grants of one engine, as the owner of its pool tracks them. */
export class TrackedEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly grants = new Map<string, TrackedGrant>();
  health: EngineHealth = EngineHealth.Live;
  /** The VM list marks the engine as leaving. */
  isListedLeaving = false;
  /** Its failure domain is evacuated. */
  isEvacuated = false;
  /** Time at which the newest evacuation was taken back. */
  #returnedMs = -Infinity;
  /** The engine reported that it is leaving, or answered a request that it takes no new work. */
  isRejectingWork = false;
  /** Incarnation in the last load report; empty before the first one. */
  incarnation = "";
  /** Id of the suspect request for which the engine is emptied, to run it in isolation. */
  isolatedFor: string | undefined;
  /** Fingerprints that got a strike when the engine was declared dead. */
  struckFingerprints: readonly string[] = [];
  load: EngineLoad | undefined;
  #capacity: EngineCapacity | undefined;
  #advancedMs = 0;

  constructor(options: { name: string; failureDomain: string }) {
    this.name = options.name;
    this.failureDomain = options.failureDomain;
  }

  /** Tells whether the engine takes new requests for a model. */
  isOpen(model: string, isLeavingChecked = true): boolean {
    const isLeaving = isLeavingChecked && (this.isListedLeaving || this.isRejectingWork);
    const loadedModel = this.load?.model ?? model;
    const isUsable = this.health === EngineHealth.Live && !this.isEvacuated;
    return isUsable && !isLeaving && loadedModel === model;
  }

  /** Notes whether the engine's failure domain is evacuated. */
  setEvacuated(isEvacuated: boolean, nowMs: number): void {
    if (this.isEvacuated && !isEvacuated) {
      this.#returnedMs = nowMs;
    }
    this.isEvacuated = isEvacuated;
  }

  /** False while it has as much of the work as may be back since an evacuation. */
  hasReturned(nowMs: number): boolean {
    const share = Math.min(1, (nowMs - this.#returnedMs) / RETURN_MS);
    return share === 1 || this.grants.size < Math.floor(share * (this.#capacity?.maxStreams ?? 0));
  }

  /** Tells whether a prompt with this fingerprint runs on the engine. */
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

  /** Advances the estimated prefill of the granted prompts to `nowMs`, oldest grant first. */
  advancePrefill(nowMs: number): void {
    const rate = this.#capacity?.prefillTokensPerS ?? 0;
    let tokens = ((nowMs - this.#advancedMs) * rate) / MS_PER_S;
    this.#advancedMs = nowMs;
    for (const grant of this.grants.values()) {
      const computed = Math.min(tokens, grant.remainingPrefillTokens);
      grant.remainingPrefillTokens -= computed;
      tokens -= computed;
    }
  }

  getView(nowMs: number, longPromptTokens: number): EngineView {
    this.advancePrefill(nowMs);
    const grants = [...this.grants.values()];
    const isLongPrompt = (grant: TrackedGrant): boolean => grant.promptTokens >= longPromptTokens;
    const tokens = sum(grants, (grant) => grant.promptTokens + grant.outputTokens);
    return {
      name: this.name,
      failureDomain: this.failureDomain,
      requests: grants.length,
      prefillBacklogTokens: sum(grants, (grant) => grant.remainingPrefillTokens),
      shortBacklogTokens: sum(
        grants.filter((grant) => !isLongPrompt(grant) && !grant.hasFirstToken),
        (grant) => grant.remainingPrefillTokens,
      ),
      outstandingTokens: tokens,
      kvReservedTokens: tokens,
      kvTotalTokens: this.#capacity?.kvTokens ?? 0,
      maxStreams: this.#capacity?.maxStreams ?? 0,
      longPrefills: grants.filter((grant) => isLongPrompt(grant) && !grant.hasFirstToken).length,
      longRequests: grants.filter(isLongPrompt).length,
      prefillTokensPerS: this.#capacity?.prefillTokensPerS ?? 1,
    };
  }
}

/**
 * Chooses among the engines whose share of the work is back after an evacuation, and among all when that
 * gives none: the others get what those have no room for.
 */
export const preferReturned = (
  engines: readonly TrackedEngine[],
  nowMs: number,
  choose: (engines: readonly TrackedEngine[]) => TrackedEngine[],
): TrackedEngine[] => {
  const returned = engines.filter((engine) => engine.hasReturned(nowMs));
  const chosen = choose(returned);
  return chosen.length > 0 || returned.length === engines.length ? chosen : choose(engines);
};

const sum = <T>(items: readonly T[], getValue: (item: T) => number): number =>
  items.reduce((total, item) => total + getValue(item), 0);
