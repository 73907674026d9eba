import type { Clock } from "@lycheepulley/core";

import { getPassMs, getReadMs } from "./engineModel.js";
import type { EngineSpec } from "./fleetConfig.js";
import type { PlacementCandidate, PlacementRequest } from "./placement.js";

/** Past requests lose half of their weight in the mean value in this time. */
const HALF_LIFE_MS = 7_000;
/** While less of the fleet is busy, every prompt is admitted. */
const MIN_BUSY_SHARE = 0.5;

/** Work that a prompt causes, in milliseconds of one whole upstream. */
export const getWorkMs = (
  engine: EngineSpec,
  { promptTokens, outputTokens }: Pick<PlacementRequest, "promptTokens" | "outputTokens">,
): number => {
  const passes = Math.ceil(outputTokens / engine.stepsPerPass);
  const decodeMs = passes * getPassMs(engine, engine.slots, 0);
  return getReadMs(engine, promptTokens) + decodeMs / engine.slots;
};

/** Share of the upstreams' capacity that is taken until `targetMs` from now, 0 to 1. */
export const getBusyShare = (
  candidates: readonly PlacementCandidate[],
  targetMs: number,
): number => {
  const taken = candidates.map(({ load, upstream }) =>
    Math.min(1, load.inFlight / upstream.slots + load.pendingReadMs / targetMs),
  );
  return taken.reduce((sum, share) => sum + share, 0) / Math.max(1, taken.length);
};

interface OfferedLoad {
  value: number;
  workMs: number;
  updatedMs: number;
}

/**
 * Sheds prompts under load: the prefill of the longest grows with the square of
 * their length, so that one of them can cost the fleet many others. A prompt is
 * admitted unless the same work on average requests is worth more, weighted with
 * the share of the fleet that is busy.
 */
export class AdmissionControl {
  readonly #clock: Clock;
  readonly #offered = new Map<string, OfferedLoad>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a request towards the mean value of its pool's work. */
  record(pool: string, value: number, workMs: number): void {
    const now = this.#clock.now();
    const known = this.#offered.get(pool) ?? { value: 0, workMs: 0, updatedMs: now };
    const decay = 0.5 ** ((now - known.updatedMs) / HALF_LIFE_MS);
    this.#offered.set(pool, {
      value: known.value * decay + value,
      workMs: known.workMs * decay + workMs,
      updatedMs: now,
    });
  }

  /** False when the work would serve other requests better. */
  admits(pool: string, value: number, prefillMs: number, busyShare: number): boolean {
    const offered = this.#offered.get(pool);
    if (!offered || offered.workMs === 0 || busyShare < MIN_BUSY_SHARE) {
      return true;
    }
    return value >= busyShare * prefillMs * (offered.value / offered.workMs);
  }
}

/** Time after which the upstreams are expected to have room for another prompt, milliseconds. */
export const getRoomMs = (candidates: readonly PlacementCandidate[]): number =>
  candidates.reduce((sum, { load }) => sum + load.pendingReadMs, 0) /
  Math.max(1, candidates.length);
