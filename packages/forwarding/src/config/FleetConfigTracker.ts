import type { Cancel, Clock, ConfigFault } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { FleetConfig } from "../fleetConfig.js";
import type { FleetView } from "../FleetView.js";

/** Time after which a configuration that peers announce and that isn't in force is reported. */
const BEHIND_MS = 1_000;
/** Time after which a configuration that no read has confirmed is reported. */
const UNCONFIRMED_MS = 5_000;
/** Interval of the checks for both. */
const CHECK_INTERVAL_MS = 500;
/** Pause between two reports of the same kind. */
const REPORT_INTERVAL_MS = 5_000;
/** Faults named in one line. */
const MAX_LOGGED_FAULTS = 8;

/** A configuration as it was read from its source. */
export interface ConfigRecord {
  /** Undefined for a record that isn't a configuration. */
  readonly config: FleetConfig | undefined;
  /** Parts that could not be read and were left out. */
  readonly skipped: readonly ConfigFault[];
}

/** A revision that is known to exist, and since when. */
interface KnownRevision {
  readonly revision: number;
  readonly sinceMs: number;
  readonly from: string;
}

const toText = ({ path, message }: ConfigFault): string => `${path}: ${message}`;

/** Fields of a log line for a list of faults, bounded. */
const toFaultFields = (faults: readonly ConfigFault[]): { faults: string[]; more?: number } => ({
  faults: faults.slice(0, MAX_LOGGED_FAULTS).map(toText),
  ...(faults.length > MAX_LOGGED_FAULTS && { more: faults.length - MAX_LOGGED_FAULTS }),
});

/**
 * Puts configurations in force, and logs what became of each one: seen, in force, by which way and how
 * late. Reports a process that is behind what its peers announce, or whose configuration nobody confirms.
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

  /** Takes a record that this process read itself; true when it is in force now. */
  onRead({ config, skipped }: ConfigRecord): boolean {
    if (skipped.length > 0 && (config === undefined || config.revision > this.#view.revision)) {
      this.#logger.warn("configuration read in part", {
        ...{ step: "config_read_back", revision: config?.revision, ...toFaultFields(skipped) },
      });
    }
    return config !== undefined && this.#apply(config, { via: "own read", ageMs: 0 });
  }

  /** Takes a configuration that a peer has had in force for `ageMs`; true when it is in force now. */
  onFetched(config: FleetConfig, peer: string, ageMs: number): boolean {
    return this.#apply(config, { via: peer, ageMs });
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
    if (revision > Math.max(this.#view.revision, this.#newest?.revision ?? -1)) {
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

  #apply(config: FleetConfig, { via, ageMs }: { via: string; ageMs: number }): boolean {
    const before = this.#view.revision;
    if (!this.#view.applyConfig(config)) {
      if (config.revision < before) {
        this.#logger.info("configuration older than the one in force", {
          ...{ step: "config_read_back", revision: config.revision, inForce: before, via },
        });
      }
      return false;
    }
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
    this.#onInForce();
    return true;
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
