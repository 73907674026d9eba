import { isJsonObject, type Cancel, type Clock, type ConfigFault } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { FleetConfig } from "../fleetConfig.js";
import type { FleetView } from "../FleetView.js";
import { checkFleetConfig } from "./checkFleetConfig.js";

/** Time after which a configuration that peers announce and that isn't in force is reported. */
const BEHIND_MS = 1_000;
/** Time after which a configuration that no read has confirmed is reported. */
const UNCONFIRMED_MS = 5_000;
/** Interval of the checks for both. */
const CHECK_INTERVAL_MS = 500;
/** Pause between two reports of the same kind. */
const REPORT_INTERVAL_MS = 5_000;
/** Faults, or fields that aren't known, named in one line. */
const MAX_LOGGED = 8;
/** Refusals, and refused revisions of peers, that are remembered. */
const MAX_REFUSED = 64;

/** A configuration as it was read from its source, not checked yet. */
export interface ConfigRecord {
  /** What should be a {@link FleetConfig}. */
  readonly value: unknown;
  /** Fields of the source that aren't known here. */
  readonly ignored: readonly string[];
  /** Names a path of `value` as those who write to the source do. */
  readonly nameField: (path: string) => string;
}

/** A configuration that a peer has in force, not checked yet. */
export interface FetchedConfig {
  /** What should be a {@link FleetConfig}. */
  readonly value: unknown;
  readonly from: string;
  /** Revision that the peer announced. */
  readonly announced: number;
  /** Time for which the peer has known it, milliseconds. */
  readonly ageMs: number;
}

/** What operators see of the configuration of a process. */
export interface ConfigStatus {
  readonly revision: number;
  /** Configurations refused since the start. */
  readonly refused: number;
  /** Time for which a newer revision has been known to exist, 0 for none; milliseconds. */
  readonly behindMs: number;
}

/** A revision that is known to exist, and since when. */
interface KnownRevision {
  readonly revision: number;
  readonly sinceMs: number;
  readonly from: string;
}

/** What became of a configuration. */
const Outcome = { InForce: "in_force", NotNewer: "not_newer", Refused: "refused" } as const;
type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** How a configuration came, and for how long it has been known there. */
interface Origin {
  readonly via: string;
  readonly ageMs: number;
  /** Absent for one of a peer, which doesn't tell. */
  readonly ignored?: readonly string[];
}

/** Adds an item to a set, and drops the oldest one beyond `count`. */
const rememberAtMost = <T>(items: Set<T>, item: T, count: number): void => {
  items.add(item);
  const [oldest] = items;
  if (items.size > count && oldest !== undefined) {
    items.delete(oldest);
  }
};

/** Revision that a value names; undefined for none that could be in force. */
const getRevision = (value: unknown): number | undefined => {
  const revision = isJsonObject(value) ? value["revision"] : undefined;
  return Number.isSafeInteger(revision) ? (revision as number) : undefined;
};

/**
 * Decides which configuration is in force: each is checked as a whole, and one that isn't valid leaves the
 * one before it in force, whatever its revision. Logs what became of each one, and reports a process
 * that is behind what its peers announce or whose configuration nobody confirms.
 */
export class FleetConfigTracker {
  readonly #clock: Clock;
  readonly #view: FleetView;
  readonly #logger: Logger;
  readonly #getReadAgeMs: () => number | undefined;
  readonly #onInForce: () => void;
  /** Newest revision that is known to exist. */
  #newest: KnownRevision | undefined;
  /** Monotonic time since which the configuration in force has been known, here or where it came from. */
  #knownSinceMs = 0;
  #confirmedMs: number;
  #isUnconfirmed = false;
  /** Why the newest revision isn't in force, as far as this process knows. */
  #reason = "not fetched yet";
  #reportedMs = -Infinity;
  #refused = 0;
  #isNewestRefused = false;
  /** Refusals that were logged, the newest last; the source is read again without a change. */
  readonly #refusals = new Set<string>();
  /** Revisions that peers have in force and that were refused here. */
  readonly #refusedOfPeers = new Set<number>();
  #lastIgnored = "";
  #cancelCheck: Cancel = () => undefined;

  /** `getReadAgeMs` returns the age of this process's own last read of the source. */
  constructor(options: {
    clock: Clock;
    view: FleetView;
    logger: Logger;
    getReadAgeMs: () => number | undefined;
    /** Called when a configuration was put in force. */
    onInForce?: () => void;
  }) {
    this.#clock = options.clock;
    this.#view = options.view;
    this.#logger = options.logger;
    this.#getReadAgeMs = options.getReadAgeMs;
    this.#onInForce = options.onInForce ?? (() => undefined);
    this.#confirmedMs = options.clock.now();
  }

  /** Starts to check periodically whether the configuration in force is behind or unconfirmed. */
  start(): void {
    this.#cancelCheck = this.#clock.setTimer(() => {
      this.#check();
      this.start();
    }, CHECK_INTERVAL_MS);
  }

  stop(): void {
    this.#cancelCheck();
  }

  /** Time since the configuration in force became known, here or at the process that it came from. */
  get ageMs(): number {
    return this.#clock.now() - this.#knownSinceMs;
  }

  get status(): ConfigStatus {
    const { revision } = this.#view;
    const newest = this.#newest;
    const isBehind = newest !== undefined && newest.revision > revision;
    const behindMs = isBehind ? this.#clock.now() - newest.sinceMs : 0;
    return { revision, refused: this.#refused, behindMs };
  }

  /** True for a revision of a peer that this process should fetch. */
  wants(revision: number): boolean {
    return revision > this.#view.revision && !this.#refusedOfPeers.has(revision);
  }

  /** True while the newest record that this process read itself was refused. */
  get isNewestRefused(): boolean {
    return this.#isNewestRefused;
  }

  /** Takes a record that this process read itself; true when it is in force now. */
  onRead({ value, ignored, nameField }: ConfigRecord, via = "own read"): boolean {
    const outcome = this.#take(value, { via, ageMs: 0, ignored }, nameField);
    this.#isNewestRefused = outcome === Outcome.Refused;
    return outcome === Outcome.InForce;
  }

  /** Takes a configuration that a peer has in force; true when it is in force here, too. */
  onFetched({ value, from, announced, ageMs }: FetchedConfig): boolean {
    const outcome = this.#take(value, { via: from, ageMs }, (path) => path);
    if (outcome === Outcome.Refused) {
      rememberAtMost(this.#refusedOfPeers, announced, MAX_REFUSED);
    }
    return outcome === Outcome.InForce;
  }

  /** Records that a fetch from a peer failed. */
  onFetchFailed(peer: string, reason: string): void {
    this.#reason = `fetch from ${peer} failed: ${reason}`;
  }

  /** Records which revision a peer has in force, and when it last read the source itself. */
  onPeer(peer: {
    readonly host: string;
    readonly revision: number;
    readonly reads: { readonly configMs?: number | undefined };
  }): void {
    const { host, revision, reads } = peer;
    if (this.wants(revision) && revision > (this.#newest?.revision ?? -1)) {
      this.#newest = { revision, sinceMs: this.#clock.now(), from: host };
    }
    if (revision === this.#view.revision && reads.configMs !== undefined) {
      this.#confirm(reads.configMs);
    }
  }

  /** Records that this process read the source, whether or not it had changed. */
  onSourceRead(): void {
    this.#confirm(0);
  }

  #take(value: unknown, origin: Origin, nameField: (path: string) => string): Outcome {
    const revision = getRevision(value);
    const inForce = this.#view.revision;
    if (revision !== undefined && revision <= inForce) {
      if (revision < inForce) {
        this.#logger.info("configuration older than the one in force", {
          ...{ step: "config_read_back", revision, inForce, via: origin.via },
        });
      }
      return Outcome.NotNewer;
    }
    const checked = checkFleetConfig(value);
    if (!checked.ok) {
      const faults = checked.faults.map(
        ({ path, message }: ConfigFault) => `${nameField(path)}: ${message}`,
      );
      this.#refuse(revision, faults, origin.via);
      return Outcome.Refused;
    }
    this.#apply(checked.config, origin);
    return Outcome.InForce;
  }

  #refuse(revision: number | undefined, faults: readonly string[], via: string): void {
    const refusal = JSON.stringify([revision, faults]);
    if (this.#refusals.has(refusal)) {
      return;
    }
    rememberAtMost(this.#refusals, refusal, MAX_REFUSED);
    this.#refused += 1;
    this.#logger.error("configuration refused", {
      ...{ step: "config_read_back", revision, inForce: this.#view.revision, via },
      faults: faults.slice(0, MAX_LOGGED),
      ...(faults.length > MAX_LOGGED && { more: faults.length - MAX_LOGGED }),
    });
  }

  #apply(config: FleetConfig, { via, ageMs, ignored }: Origin): void {
    const before = this.#view.revision;
    this.#view.applyConfig(config);
    const now = this.#clock.now();
    const { revision, routes, pools, customers } = config;
    const heardMs = this.#newest?.revision === revision ? this.#newest.sinceMs : now;
    this.#knownSinceMs = Math.min(heardMs, now - ageMs);
    if (this.#newest !== undefined && this.#newest.revision <= revision) {
      this.#newest = undefined;
      this.#reason = "not fetched yet";
    }
    this.#logger.info("configuration in force", {
      ...{ step: "config_read_back", revision, before, via, ageMs: Math.round(this.ageMs) },
      ...{ routes: routes.length, pools: pools.length, customers: customers?.length },
    });
    if (ignored) {
      this.#logIgnored(revision, ignored);
    }
    this.#onInForce();
  }

  /** Logs fields that aren't known, when they differ from those of the last configuration. */
  #logIgnored(revision: number, ignored: readonly string[]): void {
    const names = ignored.join();
    if (names !== this.#lastIgnored && ignored.length > 0) {
      this.#logger.info("fields of the configuration ignored", {
        ...{ step: "config_read_back", revision, fields: ignored.slice(0, MAX_LOGGED) },
        ...(ignored.length > MAX_LOGGED && { more: ignored.length - MAX_LOGGED }),
      });
    }
    this.#lastIgnored = names;
  }

  #confirm(ageMs: number): void {
    const now = this.#clock.now();
    this.#confirmedMs = Math.max(this.#confirmedMs, now - ageMs);
    if (this.#isUnconfirmed && now - this.#confirmedMs < UNCONFIRMED_MS) {
      this.#isUnconfirmed = false;
      this.#logger.info("configuration confirmed again", {
        ...{ step: "config_read_back", revision: this.#view.revision },
      });
    }
  }

  #check(): void {
    const now = this.#clock.now();
    const { revision } = this.#view;
    const newest = this.#newest;
    if (newest && newest.revision > revision && now - newest.sinceMs >= BEHIND_MS) {
      this.#reportBehind(newest, now);
    }
    const unconfirmedMs = now - this.#confirmedMs;
    if (!this.#isUnconfirmed && revision >= 0 && unconfirmedMs >= UNCONFIRMED_MS) {
      this.#isUnconfirmed = true;
      this.#logger.warn("configuration unconfirmed", {
        ...{ step: "config_read_back", revision, unconfirmedMs: Math.round(unconfirmedMs) },
        readAgeMs: this.#getReadAgeMs(),
      });
    }
  }

  #reportBehind({ revision: newest, sinceMs, from }: KnownRevision, now: number): void {
    if (now - this.#reportedMs < REPORT_INTERVAL_MS) {
      return;
    }
    this.#reportedMs = now;
    this.#logger.warn("configuration behind", {
      ...{ step: "config_read_back", revision: this.#view.revision, newest, peer: from },
      ...{ behindMs: Math.round(now - sinceMs), readAgeMs: this.#getReadAgeMs() },
      reason: this.#reason,
    });
  }
}
