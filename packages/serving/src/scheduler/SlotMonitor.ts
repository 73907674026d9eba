import { withTimeout, type Clock } from "@lycheepulley/core";
import type { EngineClient, EngineLoad } from "@lycheepulley/engines";

import { SlotHealth, type EngineSlot, type SlotGrant } from "./EngineSlot.js";
import type { SuspectBook } from "./SuspectBook.js";

const PROBE_TIMEOUT_MS = 1_000;

/** What the monitor tells its scheduler. */
export interface SlotMonitorEvents {
  /** An engine died with these grants on it. */
  onDeath(slot: EngineSlot, grants: readonly SlotGrant[]): void;
  /** A stream broke on an engine that lives. */
  onBrokenGrant(slot: EngineSlot, grant: SlotGrant): void;
  /** An engine's ability to take work may have changed. */
  onChange(): void;
}

/** Tells dead engines from broken streams, by load reports and probes. */
export class SlotMonitor {
  readonly #clock: Clock;
  readonly #suspects: SuspectBook;
  readonly #events: SlotMonitorEvents;

  constructor(options: { clock: Clock; suspects: SuspectBook; events: SlotMonitorEvents }) {
    this.#clock = options.clock;
    this.#suspects = options.suspects;
    this.#events = options.events;
  }

  /** Takes an engine's load report, which also shows restarts and leaving. */
  onLoad(slot: EngineSlot, load: EngineLoad): void {
    const isSame = slot.incarnation === "" || slot.incarnation === load.incarnation;
    if (slot.health === SlotHealth.Dead) {
      this.#onReturn(slot, isSame);
    } else if (!isSame) {
      this.#bury(slot);
    }
    slot.health = SlotHealth.Live;
    slot.incarnation = load.incarnation;
    slot.load = load;
    slot.isRefusing = load.leaving;
    this.#settleBroken(slot);
    this.#events.onChange();
  }

  /** Asks an engine whether it still lives; until it answers, it gets no work. */
  async probe(slot: EngineSlot, client: EngineClient): Promise<void> {
    if (slot.health !== SlotHealth.Live) {
      return;
    }
    slot.health = SlotHealth.Probing;
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

  #bury(slot: EngineSlot): void {
    const grants = [...slot.grants.values()];
    slot.health = SlotHealth.Dead;
    slot.grants.clear();
    slot.isolatedFor = undefined;
    slot.struck = this.#suspects.onDeath(
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
  #onReturn(slot: EngineSlot, isSame: boolean): void {
    if (isSame && slot.incarnation !== "") {
      this.#suspects.onFalseDeath(slot.name, slot.struck);
    }
    slot.struck = [];
  }

  #settleBroken(slot: EngineSlot): void {
    for (const grant of [...slot.grants.values()]) {
      if (grant.isBroken) {
        this.#events.onBrokenGrant(slot, grant);
      }
    }
  }
}
