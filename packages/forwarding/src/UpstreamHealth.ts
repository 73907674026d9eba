import type { Clock } from "@lycheepulley/core";

/** Past results lose half of their weight in this time. */
const HALF_LIFE_MS = 3_000;
/** Successful answers assumed before any was observed. */
const PRIOR_ANSWERS = 4;
/** Ejections last this long at first, and twice as long each time until the maximum. */
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Largest share of a pool that may be ejected at a time. */
const MAX_EJECTED_SHARE = 0.5;

interface HealthRecord {
  answers: number;
  failures: number;
  updatedMs: number;
  ejectedUntilMs: number;
  ejectionMs: number;
}

/** Results that count for an upstream's health. */
export const UpstreamResult = {
  Good: "good",
  /** It answered with an error. */
  Failed: "failed",
  /** It couldn't be reached, broke the connection off or stalled. */
  Unreachable: "unreachable",
} as const;
export type UpstreamResult = (typeof UpstreamResult)[keyof typeof UpstreamResult];

/** Tracks the failure rates of upstreams, and ejects those that are unreachable for a time. */
export class UpstreamHealth {
  readonly #clock: Clock;
  readonly #records = new Map<string, HealthRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a result; true when it ejects the upstream. */
  record(id: string, result: UpstreamResult): boolean {
    const now = this.#clock.now();
    const record = this.#getDecayed(id, now);
    record.answers += 1;
    if (result === UpstreamResult.Good) {
      record.ejectionMs = 0;
      record.ejectedUntilMs = 0;
      return false;
    }
    record.failures += 1;
    if (result !== UpstreamResult.Unreachable) {
      return false;
    }
    if (now < record.ejectedUntilMs) {
      // A request sent before the ejection says nothing new, so the next ejection still doubles.
      record.ejectedUntilMs = Math.max(record.ejectedUntilMs, now + FIRST_EJECTION_MS);
      return false;
    }
    const doubledMs = Math.max(FIRST_EJECTION_MS, record.ejectionMs * 2);
    record.ejectionMs = Math.min(MAX_EJECTION_MS, doubledMs);
    record.ejectedUntilMs = now + record.ejectionMs;
    return true;
  }

  /** Recent share of failed answers, 0 to 1. */
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
    return record !== undefined && this.#clock.now() < record.ejectedUntilMs;
  }

  /** Leaves out ejected upstreams, unless too many are ejected. */
  selectActive<T extends { readonly id: string }>(upstreams: readonly T[]): readonly T[] {
    const active = upstreams.filter(({ id }) => !this.isEjected(id));
    return active.length >= upstreams.length * (1 - MAX_EJECTED_SHARE) ? active : upstreams;
  }

  /** Ejects an upstream for at least `forMs` from now. */
  eject(id: string, forMs: number): void {
    const now = this.#clock.now();
    const record = this.#getDecayed(id, now);
    record.ejectedUntilMs = Math.max(record.ejectedUntilMs, now + forMs);
  }

  /** Ends the ejection of an upstream that proved to be alive. */
  lift(id: string): void {
    const record = this.#records.get(id);
    if (record) {
      record.ejectedUntilMs = 0;
      record.ejectionMs = 0;
    }
  }

  /** Drops all records, after failures whose cause was not at the upstreams. */
  reset(): void {
    this.#records.clear();
  }

  /** Drops the records of upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#records.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.#records.delete(id));
  }

  #getDecayed(id: string, now: number): HealthRecord {
    let record = this.#records.get(id);
    if (!record) {
      record = { answers: 0, failures: 0, updatedMs: now, ejectedUntilMs: 0, ejectionMs: 0 };
      this.#records.set(id, record);
    }
    const decay = 0.5 ** ((now - record.updatedMs) / HALF_LIFE_MS);
    record.answers *= decay;
    record.failures *= decay;
    record.updatedMs = now;
    return record;
  }
}
