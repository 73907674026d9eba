import type { Clock } from "@lycheepulley/core";

/** Failures of the past lose half of their weight in this time. */
const HALF_LIFE_MS = 3_000;
/** Answers assumed to have gone well before any was seen. */
const PRIOR_ANSWERS = 4;
const FIRST_REST_MS = 500;
const MAX_REST_MS = 4_000;
/** Share of a pool that may rest at a time. */
const MAX_RESTING_SHARE = 0.5;

interface HealthRecord {
  answers: number;
  failures: number;
  updatedMs: number;
  restUntilMs: number;
  restMs: number;
}

/** Kinds of results by which an upstream is judged. */
export const UpstreamResult = {
  Good: "good",
  /** It answered with a failure of its own. */
  Failed: "failed",
  /** It couldn't be reached, broke off or fell silent. */
  Unreachable: "unreachable",
} as const;
export type UpstreamResult = (typeof UpstreamResult)[keyof typeof UpstreamResult];

/** Judges upstreams by their answers: failure rates, and rests after lost connections. */
export class UpstreamHealth {
  readonly #clock: Clock;
  readonly #records = new Map<string, HealthRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a result; true when the upstream begins a rest. */
  record(id: string, result: UpstreamResult): boolean {
    const now = this.#clock.now();
    const record = this.#getDecayed(id, now);
    record.answers += 1;
    if (result === UpstreamResult.Good) {
      record.restMs = 0;
      record.restUntilMs = 0;
      return false;
    }
    record.failures += 1;
    if (result !== UpstreamResult.Unreachable) {
      return false;
    }
    const isNew = now >= record.restUntilMs;
    record.restMs = Math.min(MAX_REST_MS, Math.max(FIRST_REST_MS, isNew ? record.restMs * 2 : 0));
    record.restUntilMs = Math.max(record.restUntilMs, now + record.restMs);
    return isNew;
  }

  /** Recent share of failures, 0 to 1. */
  getFailureRate(id: string): number {
    const record = this.#records.get(id);
    if (!record) {
      return 0;
    }
    this.#getDecayed(id, this.#clock.now());
    return record.failures / (record.answers + PRIOR_ANSWERS);
  }

  isEjected(id: string): boolean {
    const record = this.#records.get(id);
    return record !== undefined && this.#clock.now() < record.restUntilMs;
  }

  /** Leaves out those that rest, unless too many would be. */
  selectActive<T extends { readonly id: string }>(upstreams: readonly T[]): readonly T[] {
    const active = upstreams.filter(({ id }) => !this.isEjected(id));
    return active.length >= upstreams.length * (1 - MAX_RESTING_SHARE) ? active : upstreams;
  }

  /** Forgets upstreams that are gone. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#records.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.#records.delete(id));
  }

  #getDecayed(id: string, now: number): HealthRecord {
    let record = this.#records.get(id);
    if (!record) {
      record = { answers: 0, failures: 0, updatedMs: now, restUntilMs: 0, restMs: 0 };
      this.#records.set(id, record);
    }
    const decay = 0.5 ** ((now - record.updatedMs) / HALF_LIFE_MS);
    record.answers *= decay;
    record.failures *= decay;
    record.updatedMs = now;
    return record;
  }
}
