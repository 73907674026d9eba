import type { Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { DepartedUpstreams, type ListCorrections } from "./DepartedUpstreams.js";
import type { UpstreamList } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";
import { ListOutageGuard } from "./ListOutageGuard.js";
import { isEpochBefore, isListBefore, type ListPosition } from "./sources/listPosition.js";
import { UpstreamStarts } from "./UpstreamStarts.js";

/** Pause between two reports of lists that are older than the one in force. */
const REPORT_INTERVAL_MS = 5_000;

/**
 * Applies lists of upstreams to the view, from the listing service or from peers.
 * Bridges outages of the service and its returns from an older copy.
 */
export class UpstreamListTracker {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #onRestored: () => void;
  readonly #outageGuard: ListOutageGuard;
  readonly #departed: DepartedUpstreams;
  readonly #starts = new UpstreamStarts();
  #position: ListPosition = { version: -1 };
  #restarted: ReadonlySet<string> = new Set();
  #reportedMs = -Infinity;

  /** `onRestored` is called when the service came back from an older copy. */
  constructor(options: {
    clock: Clock;
    view: FleetView;
    logger: Logger;
    upstreamBeatMs: number;
    onRestored: () => void;
  }) {
    const { clock, upstreamBeatMs } = options;
    this.#clock = clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#onRestored = options.onRestored;
    this.#outageGuard = new ListOutageGuard({ clock, upstreamBeatMs });
    this.#departed = new DepartedUpstreams({ clock, upstreamBeatMs });
  }

  /** Position of the list in force; undefined before one is known. */
  get position(): ListPosition | undefined {
    const { list } = this.#view;
    return list.version < 0 ? undefined : list;
  }

  /** True when `list` is of an older epoch than the list in force. */
  isOfOlderEpoch(list: ListPosition): boolean {
    return isEpochBefore(list, this.#view.list);
  }

  /** Upstreams in use without those that started again with the newest list, of which nothing is known. */
  get lasting(): ReadonlySet<string> {
    return new Set([...this.#view.upstreams.keys()].filter((id) => !this.#restarted.has(id)));
  }

  /**
   * Applies a list that was current at `atMs`, and asked for at `sentMs` where that is known; true when
   * upstreams or the epoch changed.
   */
  apply(list: UpstreamList, atMs: number, sentMs = atMs): boolean {
    this.#restarted = new Set();
    if (this.isOfOlderEpoch(list)) {
      return false;
    }
    const hasRisen = this.#outageGuard.onList(atMs, list, sentMs);
    if (isListBefore(list, this.#view.list)) {
      this.#reportOlder(list);
      return false;
    }
    this.#restarted = this.#starts.observe(list.upstreams);
    this.#restarted.forEach((id) => {
      this.#departed.forget(id);
      this.#view.forgetLeaving(id);
    });
    const retained = this.#outageGuard.getRetained(
      this.#view.upstreams.keys(),
      new Set(list.upstreams.map(({ id }) => id)),
    );
    const corrections = this.#departed.getCorrections(list, atMs);
    const { joined, left } = this.#view.applyUpstreams(list, atMs, retained, corrections);
    this.#departed.record(list, corrections, this.#view.upstreams);
    this.#starts.retain(this.#view.upstreams);
    const restarted = [...this.#restarted];
    if (left.length > 0 || joined.length > 0 || restarted.length > 0) {
      this.#logger.info("upstreams changed", {
        ...{ step: "membership", left, joined, restarted, kept: retained.size },
        ...{ size: this.#view.upstreams.size, listVersion: list.version },
      });
    }
    if (hasRisen) {
      this.#logRestored(list, corrections);
      this.#onRestored();
    }
    this.#position = { generation: list.generation, epoch: list.epoch, version: list.version };
    return left.length > 0 || joined.length > 0 || hasRisen;
  }

  /**
   * Records that the list in force was current at `atMs`, at a newer position. Applies it again
   * while upstreams are retained or held back.
   */
  confirm(position: ListPosition, atMs: number): void {
    if (this.isOfOlderEpoch(position)) {
      return;
    }
    const hasRisen = isEpochBefore(this.#view.list, position);
    this.#view.confirmList(position, atMs);
    if (hasRisen || this.#view.isProvisional) {
      this.apply(this.#view.list, atMs);
    } else {
      this.#outageGuard.onList(atMs, position);
    }
  }

  #reportOlder({ generation, epoch, version, isDirect = false }: UpstreamList): void {
    const nowMs = this.#clock.now();
    if (nowMs - this.#reportedMs < REPORT_INTERVAL_MS) {
      return;
    }
    this.#reportedMs = nowMs;
    const { list, listedMs } = this.#view;
    this.#logger.warn("upstream list older than the one in force", {
      ...(generation !== undefined && { generation }),
      ...{ step: "membership", epoch, listVersion: version, isDirect },
      ...{ epochInForce: list.epoch, listVersionInForce: list.version },
      ageMs: Math.round(nowMs - listedMs),
    });
  }

  #logRestored(list: UpstreamList, { heldBack, leaving }: ListCorrections): void {
    const listed = new Set(list.upstreams.map(({ id }) => id));
    this.#logger.info("store restored from an older copy", {
      ...(list.generation !== undefined && { generation: list.generation }),
      ...{ step: "membership", epochBefore: this.#position.epoch, epoch: list.epoch },
      ...{ listVersionBefore: this.#position.version, listVersion: list.version },
      ...{ revision: this.#view.revision, size: this.#view.upstreams.size },
      retained: [...this.#view.upstreams.keys()].filter((id) => !listed.has(id)),
      ...{ heldBack: [...heldBack], leaving: [...leaving] },
      readAnew: ["configuration", "upstream list", "peer list"],
    });
  }
}
