import { withTimeout, type Clock } from "@lycheepulley/core";
import type { EngineClient, EngineLoad } from "@lycheepulley/engines";

import { EngineHealth, type TrackedEngine, type TrackedGrant } from "./TrackedEngine.js";
import type { StrikeTracker } from "./StrikeTracker.js";

const PROBE_TIMEOUT_MS = 1_000;

/** Events that the monitor reports to its scheduler. */
export interface EngineMonitorEvents {
  /** An engine was declared dead while it had these grants. */
  onDeath(engine: TrackedEngine, grants: readonly TrackedGrant[]): void;
  /** A grant's stream broke, but its engine is alive. */
  onBrokenGrant(engine: TrackedEngine, grant: TrackedGrant): void;
  /** An engine may have become able or unable to take requests. */
  onChange(): void;
}

/** Tells a dead engine from a broken connection, by load reports and probes. */
export class EngineMonitor {
  readonly #clock: Clock;
  readonly #strikes: StrikeTracker;
  readonly #events: EngineMonitorEvents;

  constructor(options: { clock: Clock; strikes: StrikeTracker; events: EngineMonitorEvents }) {
    this.#clock = options.clock;
    this.#strikes = options.strikes;
    this.#events = options.events;
  }

  /** Handles a load report; a changed incarnation in it means that the engine restarted. */
  onLoad(engine: TrackedEngine, load: EngineLoad): void {
    const isSameIncarnation = engine.incarnation === "" || engine.incarnation === load.incarnation;
    if (engine.health === EngineHealth.Dead) {
      this.#onReportAfterDeath(engine, isSameIncarnation);
    } else if (!isSameIncarnation) {
      this.#declareDead(engine);
    }
    engine.health = EngineHealth.Live;
    engine.incarnation = load.incarnation;
    engine.load = load;
    engine.isRejectingWork = load.leaving;
    this.#releaseBrokenGrants(engine);
    this.#events.onChange();
  }

  /** Probes an engine by fetching its load report; it gets no requests until it has answered. */
  async probe(engine: TrackedEngine, client: EngineClient): Promise<void> {
    if (engine.health !== EngineHealth.Live) {
      return;
    }
    engine.health = EngineHealth.Probing;
    try {
      const load = await withTimeout(client.fetchLoad(), {
        clock: this.#clock,
        timeoutMs: PROBE_TIMEOUT_MS,
        what: `probe of engine ${engine.name}`,
      });
      this.onLoad(engine, load);
    } catch {
      this.#declareDead(engine);
      this.#events.onChange();
    }
  }

  #declareDead(engine: TrackedEngine): void {
    const grants = [...engine.grants.values()];
    engine.health = EngineHealth.Dead;
    engine.grants.clear();
    engine.isolatedFor = undefined;
    engine.struckFingerprints = this.#strikes.onDeath(
      engine.name,
      grants.map(({ fingerprint, isAlone, id }) => ({
        fingerprint,
        wasAlone: isAlone,
        requestId: id,
      })),
    );
    this.#events.onDeath(engine, grants);
  }

  /**
   * Handles the first report of an engine that was declared dead. The same incarnation means that
   * the engine was only unreachable, so the strikes for its death are withdrawn.
   */
  #onReportAfterDeath(engine: TrackedEngine, isSameIncarnation: boolean): void {
    if (isSameIncarnation && engine.incarnation !== "") {
      this.#strikes.onFalseDeath(engine.name, engine.struckFingerprints);
    }
    engine.struckFingerprints = [];
  }

  #releaseBrokenGrants(engine: TrackedEngine): void {
    for (const grant of [...engine.grants.values()]) {
      if (grant.isBroken) {
        this.#events.onBrokenGrant(engine, grant);
      }
    }
  }
}
