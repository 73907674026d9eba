import type { EngineClient } from "@lycheepulley/engines";

import { TrackedEngine, EngineHealth, type TrackedGrant } from "./TrackedEngine.js";
import type { AcquireRequest, HeldGrant } from "./types.js";

/** Share of a pool that suspects may occupy one by one. */
const ISOLATION_SHARE = 0.25;

/** An engine of the pool as the directory lists it. */
export interface PoolEngine {
  readonly client: EngineClient;
  readonly failureDomain: string;
  readonly isLeaving: boolean;
}

/** Engines of one pool and what is granted on them. */
export class EngineTable {
  readonly #slots = new Map<string, TrackedEngine>();
  readonly #clients = new Map<string, EngineClient>();

  /** Engines that are not known to be dead. */
  get liveCount(): number {
    return this.getAll().filter((slot) => slot.health === EngineHealth.Live).length;
  }

  get(name: string): TrackedEngine | undefined {
    return this.#slots.get(name);
  }

  getAll(): TrackedEngine[] {
    return [...this.#slots.values()];
  }

  getClient(name: string): EngineClient | undefined {
    return this.#clients.get(name);
  }

  /** Takes the pool's engines from the directory. */
  setEngines(engines: readonly PoolEngine[]): void {
    const names = new Set(engines.map(({ client }) => client.name));
    for (const name of [...this.#slots.keys()]) {
      if (!names.has(name)) {
        this.#slots.delete(name);
        this.#clients.delete(name);
      }
    }
    for (const { client, failureDomain, isLeaving } of engines) {
      const { name } = client;
      const slot = this.#slots.get(name) ?? new TrackedEngine({ name, failureDomain });
      slot.isListedLeaving = isLeaving;
      this.#slots.set(name, slot);
      this.#clients.set(name, client);
    }
  }

  /** Learns the engines' capacity from a request for their model. */
  learnCapacity({ engineKvTokens, maxStreams, prefillTokensPerS }: AcquireRequest): void {
    for (const slot of this.#slots.values()) {
      slot.setCapacity({ kvTokens: engineKvTokens, maxStreams, prefillTokensPerS });
    }
  }

  /** Engine on which an equal prompt runs. */
  findRunning(fingerprint: string): TrackedEngine | undefined {
    for (const slot of this.#slots.values()) {
      if (slot.runsFingerprint(fingerprint)) {
        return slot;
      }
    }
    return undefined;
  }

  /** Takes a grant that a process says it holds; an unknown one is learned. */
  renew(holder: string, report: HeldGrant, nowMs: number): void {
    const slot = this.#slots.get(report.engine);
    const known = slot?.grants.get(report.id);
    if (known) {
      known.renewedMs = nowMs;
      known.hasFirstToken ||= report.hasFirstToken;
      known.remainingPrefillTokens = known.hasFirstToken ? 0 : known.remainingPrefillTokens;
      return;
    }
    const prefillLeft = report.hasFirstToken ? 0 : report.promptTokens;
    slot?.add(
      { ...report, holder, renewedMs: nowMs, remainingPrefillTokens: prefillLeft, isBroken: false },
      nowMs,
    );
  }

  /** Grants that were last renewed before `oldestMs`. */
  getExpiredGrants(oldestMs: number): { slot: TrackedEngine; grant: TrackedGrant }[] {
    return this.getAll().flatMap((slot) =>
      [...slot.grants.values()]
        .filter((grant) => grant.renewedMs < oldestMs)
        .map((grant) => ({ slot, grant })),
    );
  }

  /** Engine that is being emptied for a suspect, or the emptiest if another may be. */
  chooseIsolationEngine(id: string, open: readonly TrackedEngine[]): TrackedEngine | undefined {
    const own = open.find((slot) => slot.isolatedFor === id);
    const isolated = this.getAll().filter((slot) => slot.isolatedFor !== undefined).length;
    const limit = Math.max(1, Math.floor(this.#slots.size * ISOLATION_SHARE));
    const free = open.filter((slot) => slot.isolatedFor === undefined);
    const emptiest = free.sort((a, b) => a.grants.size - b.grants.size)[0];
    return own ?? (isolated < limit ? emptiest : undefined);
  }

  /** Ends the isolation that was meant for a request. */
  endIsolation(id: string): void {
    for (const slot of this.#slots.values()) {
      if (slot.isolatedFor === id) {
        slot.isolatedFor = undefined;
      }
    }
  }
}
