import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { FleetView } from "../FleetView.js";
import type { PeerIdentity } from "../PeerTable.js";
import { isEpochBefore, isListBefore, type ListPosition } from "../sources/listPosition.js";
import {
  MAX_STATED_BYTES,
  MAX_STATED_LENGTH,
  type EvacuationList,
  type EvacuationStatement,
} from "./evacuationList.js";
import { Evacuations, type EvacuationChange } from "./Evacuations.js";

/** Evacuations in force that neither a read nor a peer confirmed for longer are read by each process itself. */
const MAX_UNCONFIRMED_MS = 5_000;
/** Pause between two reports of reads that are older than the list in force. */
const REPORT_INTERVAL_MS = 5_000;
/** Lines logged for one change. */
const MAX_LINES = 16;

/** Keeps the evacuated failure domains of the view by what operators request, read here or by a peer. */
export class EvacuationTracker {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #isSourced: boolean;
  readonly #evacuations = new Evacuations();
  #reportedMs = -Infinity;

  /** `isSourced` is false for a deployment in which nobody requests evacuations. */
  constructor(options: { clock: Clock; view: FleetView; logger: Logger; isSourced: boolean }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#isSourced = options.isSourced;
  }

  /** True when this process knows which domains are evacuated. */
  get isKnown(): boolean {
    return !this.#isSourced || this.#evacuations.list !== undefined;
  }

  /** Position of the newest list; undefined before one is known. */
  get position(): ListPosition | undefined {
    return this.#evacuations.list;
  }

  /** Number of evacuated domains. */
  get count(): number {
    return this.#evacuations.inForce.size;
  }

  /** True while nobody confirms the evacuations in force, so that this process has to read them. */
  get isUnconfirmed(): boolean {
    const { inForce, listedMs } = this.#evacuations;
    return inForce.size > 0 && this.#clock.now() - listedMs > MAX_UNCONFIRMED_MS;
  }

  /** What the heartbeats state; undefined before anything is known. */
  get statement(): EvacuationStatement | undefined {
    const { list, held } = this.#evacuations;
    if (!list) {
      return undefined;
    }
    return {
      ...(list.generation !== undefined && { generation: list.generation }),
      ...(list.epoch !== undefined && { epoch: list.epoch }),
      ...{ version: list.version, domains: this.#selectStated(list.domains) },
      ...(held.length > 0 && { held: this.#selectStated(held) }),
    };
  }

  /** Applies a list that this process read itself; true when evacuations changed. */
  onRead(list: EvacuationList): boolean {
    const nowMs = this.#clock.now();
    const inForce = this.#evacuations.list;
    if (inForce && isListBefore(list, inForce) && nowMs - this.#reportedMs >= REPORT_INTERVAL_MS) {
      this.#reportedMs = nowMs;
      this.#logger.warn("evacuations older than those in force", {
        ...{ step: "membership", epoch: list.epoch, version: list.version },
        ...{ epochInForce: inForce.epoch, versionInForce: inForce.version },
      });
    }
    return this.#record("own read", this.#evacuations.apply(list, { nowMs, atMs: nowMs }));
  }

  /** Records that a read found the newest list unchanged; true when evacuations changed. */
  onUnchanged(): boolean {
    return this.#record("own read", this.#evacuations.confirm(this.#clock.now()));
  }

  /** Takes over what a peer knows in addition; true when evacuations changed. */
  onPeer(peer: Pick<PeerIdentity, "host" | "evacuations" | "reads">): boolean {
    const { host, evacuations: stated, reads } = peer;
    if (!stated || !this.#isSourced) {
      return false;
    }
    const nowMs = this.#clock.now();
    const { list } = this.#evacuations;
    const held = stated.held ?? [];
    if (list && isListBefore(stated, list)) {
      const domains = isEpochBefore(stated, list) ? [...stated.domains, ...held] : held;
      return this.#record(host, this.#evacuations.hold(domains, nowMs));
    }
    const atMs = reads.configMs === undefined ? -Infinity : nowMs - reads.configMs;
    const isNewer = !list || isListBefore(list, stated);
    const hasChanged = this.#record(
      host,
      isNewer ? this.#evacuations.apply(stated, { nowMs, atMs }) : this.#evacuations.confirm(atMs),
    );
    return this.#record(host, this.#evacuations.hold(held, nowMs)) || hasChanged;
  }

  /** Names to state; those of domains that have upstreams come first. */
  #selectStated(domains: readonly string[]): string[] {
    const stated = domains.filter(({ length }) => length <= MAX_STATED_LENGTH);
    const inUse = new Set([...this.#view.upstreams.values()].map((one) => one.failureDomain));
    const ranked = [
      ...stated.filter((domain) => inUse.has(domain)),
      ...stated.filter((domain) => !inUse.has(domain)),
    ];
    let bytes = 0;
    return ranked.filter((domain) => {
      bytes += Buffer.byteLength(JSON.stringify(domain)) + 1;
      return bytes <= MAX_STATED_BYTES;
    });
  }

  /** Puts a change in force in the view; true when there is one. */
  #record(source: string, { evacuated, restored }: EvacuationChange): boolean {
    if (evacuated.length === 0 && restored.length === 0) {
      return false;
    }
    const nowMs = this.#clock.now();
    const { inForce, list, listedMs } = this.#evacuations;
    this.#view.setEvacuated(inForce);
    const ageMs = Number.isFinite(listedMs) ? Math.round(nowMs - listedMs) : undefined;
    const changes = [
      ...evacuated.map((domain) => ({ domain, isEvacuated: true })),
      ...restored.map((domain) => ({ domain, isEvacuated: false })),
    ];
    for (const { domain, isEvacuated } of changes.slice(0, MAX_LINES)) {
      this.#logger.info(isEvacuated ? "failure domain evacuated" : "evacuation taken back", {
        ...{ step: "membership", failureDomain: domain.slice(0, MAX_STATED_LENGTH), source },
        ...{ epoch: list?.epoch, version: list?.version, ageMs },
        ...{ evacuated: inForce.size, changes: changes.length },
      });
    }
    return true;
  }
}
