import { isEpochBefore, isListBefore } from "../sources/listPosition.js";
import type { EvacuationList } from "./evacuationList.js";

/**
 * Time after a return of the service from an older copy within which operators' requests that it lost
 * are there again.
 */
const HOLD_MS = 2_500;
/** Far longer than the age of such a copy. */
const MEMORY_MS = 60_000;
const MAX_TAKEN_BACK = 1_024;

/** Domains whose evacuation began and ended with a list. */
export interface EvacuationChange {
  readonly evacuated: readonly string[];
  readonly restored: readonly string[];
}

const NO_CHANGE: EvacuationChange = { evacuated: [], restored: [] };
const NO_DOMAINS: ReadonlySet<string> = new Set();

const getDifference = (one: ReadonlySet<string>, other: ReadonlySet<string>): string[] =>
  [...one].filter((domain) => !other.has(domain));

/**
 * Failure domains that are evacuated, by the newest list. A list of a newer epoch comes from an older
 * copy: for `HOLD_MS`, a domain that it shows otherwise than it was keeps its state, unless the list
 * changes in that domain within the epoch.
 */
export class Evacuations {
  #list: EvacuationList | undefined;
  #listed: ReadonlySet<string> = NO_DOMAINS;
  #inForce: ReadonlySet<string> = NO_DOMAINS;
  #listedMs = -Infinity;
  #holdUntilMs = -Infinity;
  /** State before the newest epoch of domains that the list shows otherwise. */
  readonly #before = new Map<string, boolean>();
  /** Domains that changed within the newest epoch. */
  readonly #settled = new Set<string>();
  readonly #takenBackMs = new Map<string, number>();

  /** Newest list; undefined before one is known. */
  get list(): EvacuationList | undefined {
    return this.#list;
  }

  /** Domains that get nothing new. */
  get inForce(): ReadonlySet<string> {
    return this.#inForce;
  }

  /** Domains in force that the newest list lacks. */
  get held(): string[] {
    return getDifference(this.#inForce, this.#listed);
  }

  /** Monotonic time at which the newest list was current. */
  get listedMs(): number {
    return this.#listedMs;
  }

  /**
   * Applies a list unless it is older than the one in force. `atMs` is when it was current,
   * `-Infinity` when that isn't known.
   */
  apply(list: EvacuationList, { nowMs, atMs }: { nowMs: number; atMs: number }): EvacuationChange {
    if (this.#list && isListBefore(list, this.#list)) {
      return NO_CHANGE;
    }
    const listed = new Set(list.domains);
    if (!this.#list || isEpochBefore(this.#list, list)) {
      this.#startEpoch(nowMs);
    } else {
      for (const domain of [
        ...getDifference(this.#listed, listed),
        ...getDifference(listed, this.#listed),
      ]) {
        this.#settled.add(domain);
        this.#before.delete(domain);
      }
    }
    this.#list = list;
    this.#listed = listed;
    this.#listedMs = Math.max(this.#listedMs, atMs);
    return this.#update(nowMs);
  }

  /** Records that the newest list was current at `atMs`, which may end a hold. */
  confirm(atMs: number): EvacuationChange {
    if (!this.#list) {
      return NO_CHANGE;
    }
    this.#listedMs = Math.max(this.#listedMs, atMs);
    return this.#update(atMs);
  }

  /** Records domains that a peer knows were evacuated before this process's newest epoch. */
  hold(domains: readonly string[], nowMs: number): EvacuationChange {
    if (nowMs >= this.#holdUntilMs || domains.every((domain) => this.#inForce.has(domain))) {
      return NO_CHANGE;
    }
    for (const domain of domains) {
      if (!this.#settled.has(domain) && !this.#before.has(domain)) {
        this.#before.set(domain, true);
      }
    }
    return this.#update(nowMs);
  }

  #startEpoch(nowMs: number): void {
    this.#holdUntilMs = nowMs + HOLD_MS;
    this.#settled.clear();
    this.#before.clear();
    for (const [domain, takenBackMs] of this.#takenBackMs) {
      if (nowMs - takenBackMs <= MEMORY_MS) {
        this.#before.set(domain, false);
      }
    }
    this.#inForce.forEach((domain) => this.#before.set(domain, true));
  }

  #update(nowMs: number): EvacuationChange {
    // Ends by the time of the newest list: while the service is out again, nothing can be requested anew.
    if (this.#listedMs >= this.#holdUntilMs) {
      this.#before.clear();
    }
    const next = new Set(this.#listed);
    for (const [domain, wasInForce] of this.#before) {
      if (wasInForce === this.#listed.has(domain)) {
        this.#before.delete(domain);
      } else if (wasInForce) {
        next.add(domain);
      } else {
        next.delete(domain);
      }
    }
    const change = {
      evacuated: getDifference(next, this.#inForce),
      restored: getDifference(this.#inForce, next),
    };
    this.#inForce = next;
    this.#remember(change, nowMs);
    return change;
  }

  #remember({ evacuated, restored }: EvacuationChange, nowMs: number): void {
    evacuated.forEach((domain) => this.#takenBackMs.delete(domain));
    restored.forEach((domain) => this.#takenBackMs.set(domain, nowMs));
    const [oldest] = this.#takenBackMs.keys();
    if (this.#takenBackMs.size > MAX_TAKEN_BACK && oldest !== undefined) {
      this.#takenBackMs.delete(oldest);
    }
  }
}
