import type { EngineClient } from "@lycheepulley/engines";

import { TrackedEngine, EngineHealth, type TrackedGrant } from "./TrackedEngine.js";
import type { AcquireRequest, HeldGrant } from "./types.js";

/** Largest share of a pool's engines that may be isolated for suspect prompts at a time. */
const ISOLATION_SHARE = 0.25;

/** An engine of the pool as the upstream directory lists it. */
export interface PoolEngine {
  readonly client: EngineClient;
  readonly failureDomain: string;
  readonly isLeaving: boolean;
  /** Nothing new is sent to its failure domain. */
  readonly isEvacuated: boolean;
}

/** The engines of one pool and the grants on them. */
export class EngineTable {
  readonly #engines = new Map<string, TrackedEngine>();
  readonly #clients = new Map<string, EngineClient>();

  /** Number of engines that are neither dead nor being probed. */
  get liveCount(): number {
    return this.getAll().filter((engine) => engine.health === EngineHealth.Live).length;
  }

  get(name: string): TrackedEngine | undefined {
    return this.#engines.get(name);
  }

  getAll(): TrackedEngine[] {
    return [...this.#engines.values()];
  }

  getClient(name: string): EngineClient | undefined {
    return this.#clients.get(name);
  }

  /** Replaces the set of engines; the state of an engine that stays is kept. */
  setEngines(engines: readonly PoolEngine[], nowMs: number): void {
    const names = new Set(engines.map(({ client }) => client.name));
    for (const name of [...this.#engines.keys()]) {
      if (!names.has(name)) {
        this.#engines.delete(name);
        this.#clients.delete(name);
      }
    }
    for (const { client, failureDomain, isLeaving, isEvacuated } of engines) {
      const { name } = client;
      const engine = this.#engines.get(name) ?? new TrackedEngine({ name, failureDomain });
      engine.isListedLeaving = isLeaving;
      engine.setEvacuated(isEvacuated, nowMs);
      this.#engines.set(name, engine);
      this.#clients.set(name, client);
    }
  }

  /** Sets the engines' capacity, which each request for their model carries. */
  learnCapacity({ engineKvTokens, maxStreams, prefillTokensPerS }: AcquireRequest): void {
    for (const engine of this.#engines.values()) {
      engine.setCapacity({ kvTokens: engineKvTokens, maxStreams, prefillTokensPerS });
    }
  }

  /** Engine that runs a prompt with this fingerprint. */
  findRunning(fingerprint: string): TrackedEngine | undefined {
    for (const engine of this.#engines.values()) {
      if (engine.runsFingerprint(fingerprint)) {
        return engine;
      }
    }
    return undefined;
  }

  /** Renews a grant that a process reports to hold; an unknown grant is added. */
  renew(holder: string, report: HeldGrant, nowMs: number): void {
    const engine = this.#engines.get(report.engine);
    const known = engine?.grants.get(report.id);
    if (known) {
      known.renewedMs = nowMs;
      known.hasFirstToken ||= report.hasFirstToken;
      known.remainingPrefillTokens = known.hasFirstToken ? 0 : known.remainingPrefillTokens;
      return;
    }
    const remainingPrefillTokens = report.hasFirstToken ? 0 : report.promptTokens;
    engine?.add(
      {
        ...report,
        holder,
        renewedMs: nowMs,
        remainingPrefillTokens,
        isBroken: false,
      },
      nowMs,
    );
  }

  /** Grants that were last renewed before `oldestMs`, with their engines. */
  getExpiredGrants(oldestMs: number): { engine: TrackedEngine; grant: TrackedGrant }[] {
    return this.getAll().flatMap((engine) =>
      [...engine.grants.values()]
        .filter((grant) => grant.renewedMs < oldestMs)
        .map((grant) => ({ engine, grant })),
    );
  }

  /**
   * Chooses the engine to run a suspect request in isolation: the one that is already being emptied
   * for it, or the one with the fewest grants while the limit on isolated engines allows another.
   */
  chooseIsolationEngine(id: string, open: readonly TrackedEngine[]): TrackedEngine | undefined {
    const own = open.find((engine) => engine.isolatedFor === id);
    const isolated = this.getAll().filter((engine) => engine.isolatedFor !== undefined).length;
    const limit = Math.max(1, Math.floor(this.#engines.size * ISOLATION_SHARE));
    const free = open.filter((engine) => engine.isolatedFor === undefined);
    const leastLoaded = free.sort((a, b) => a.grants.size - b.grants.size)[0];
    return own ?? (isolated < limit ? leastLoaded : undefined);
  }

  /** Ends the isolation of an engine for a request. */
  endIsolation(id: string): void {
    for (const engine of this.#engines.values()) {
      if (engine.isolatedFor === id) {
        engine.isolatedFor = undefined;
      }
    }
  }
}
