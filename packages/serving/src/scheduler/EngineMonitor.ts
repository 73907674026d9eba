import { withTimeout, type Clock } from "@lycheepulley/core";
import type { EngineClient, EngineLoad } from "@lycheepulley/engines";

import { EngineHealth, type TrackedEngine, type TrackedGrant } from "./TrackedEngine.js";
import type { StrikeTracker } from "./StrikeTracker.js";

const PROBE_TIMEOUT_MS = 1_000;

/** What the monitor tells its scheduler. */
export interface EngineMonitorEvents {
  /** An engine died with these grants on it. */
  onDeath(slot: TrackedEngine, grants: readonly TrackedGrant[]): void;
  /** A stream broke on an engine that lives. */
  onBrokenGrant(slot: TrackedEngine, grant: TrackedGrant): void;
  /** An engine's ability to take work may have changed. */
  onChange(): void;
}

/** Tells dead engines from broken streams, by load reports and probes. */
export class EngineMonitor {
  readonly #clock: Clock;
  readonly #suspects: StrikeTracker;
  readonly #events: EngineMonitorEvents;

  constructor(options: { clock: Clock; suspects: StrikeTracker; events: EngineMonitorEvents }) {
    this.#clock = options.clock;
    this.#suspects = options.suspects;
    this.#events = options.events;
  }

  /** Takes an engine's load report, which also shows restarts and leaving. */
  onLoad(slot: TrackedEngine, load: EngineLoad): void {
    const isSame = slot.incarnation === "" || slot.incarnation === load.incarnation;
    if (slot.health === EngineHealth.Dead) {
      this.#onReturn(slot, isSame);
    } else if (!isSame) {
      this.#bury(slot);
    }
    slot.health = EngineHealth.Live;
    slot.incarnation = load.incarnation;
    slot.load = load;
    slot.isRejectingWork = load.leaving;
    this.#settleBroken(slot);
    this.#events.onChange();
  }

  /** Asks an engine whether it still lives; until it answers, it gets no work. */
  async probe(slot: TrackedEngine, client: EngineClient): Promise<void> {
    if (slot.health !== EngineHealth.Live) {
      return;
    }
    slot.health = EngineHealth.Probing;
    try {
      const load = await withTimeout(client.fetchLoad(), {
        clock: this.#clock,
        timeoutMs: PROBE_TIMEOUT_MS,
        what: `probe of ${slot.name}`,
      });
      this.onLoad(slot, load);
    } catch {
      this.#bury(slot);
      this.#events.onChange();
    }
  }

  #bury(slot: TrackedEngine): void {
    const grants = [...slot.grants.values()];
    slot.health = EngineHealth.Dead;
    slot.grants.clear();
    slot.isolatedFor = undefined;
    slot.struckFingerprints = this.#suspects.onDeath(
      slot.name,
      grants.map(({ fingerprint, isAlone, id }) => ({
        fingerprint,
        wasAlone: isAlone,
        requestId: id,
      })),
    );
    this.#events.onDeath(slot, grants);
  }

  /** The same incarnation answers again: it was out of reach, not dead. */
  #onReturn(slot: TrackedEngine, isSame: boolean): void {
    if (isSame && slot.incarnation !== "") {
      this.#suspects.onFalseDeath(slot.name, slot.struckFingerprints);
    }
    slot.struckFingerprints = [];
  }

  #settleBroken(slot: TrackedEngine): void {
    for (const grant of [...slot.grants.values()]) {
      if (grant.isBroken) {
        this.#events.onBrokenGrant(slot, grant);
      }
    }
  }
}
