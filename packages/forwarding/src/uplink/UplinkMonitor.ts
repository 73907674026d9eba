import type { Cancel, Clock, Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Upstream } from "../fleetConfig.js";
import { sample } from "../sample.js";

/** Upstreams that one check connects to. */
const PROBES = 3;
/** Time between two checks. */
const CHECK_INTERVAL_MS = 500;
/** Consecutive checks that find the links restored before they are used again. */
const RESTORED_CHECKS = 2;

/**
 * Judges whether this process has lost its links to all upstreams. The failure of single
 * connections starts a check, which connects to several upstreams at once.
 */
export class UplinkMonitor {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #logger: Logger;
  readonly #getUpstreams: () => readonly Upstream[];
  readonly #probe: (upstream: Upstream) => Promise<boolean>;
  readonly #onChange: (isLost: boolean) => void;
  #isLost = false;
  #isStopped = false;
  #isChecking = false;
  #checkedMs = -Infinity;
  #connectedMs = -Infinity;
  #restoredChecks = 0;
  #cancelTimer: Cancel = () => undefined;

  constructor(options: {
    clock: Clock;
    random: Random;
    logger: Logger;
    getUpstreams: () => readonly Upstream[];
    /** Opens a connection and closes it; true when it was accepted. Never rejects. */
    probe: (upstream: Upstream) => Promise<boolean>;
    onChange: (isLost: boolean) => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#logger = options.logger;
    this.#getUpstreams = options.getUpstreams;
    this.#probe = options.probe;
    this.#onChange = options.onChange;
  }

  /** True while no upstream accepts connections of this process. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Records that an upstream accepted a connection of this process. */
  recordConnected(): void {
    this.#connectedMs = this.#clock.now();
  }

  /** Starts a check, after a connection that failed or isn't accepted soon. */
  suspect(): void {
    if (!this.#isLost && this.#clock.now() - this.#checkedMs >= CHECK_INTERVAL_MS) {
      void this.#check();
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer();
  }

  async #check(): Promise<void> {
    if (this.#isChecking) {
      return;
    }
    this.#isChecking = true;
    const startMs = this.#clock.now();
    this.#checkedMs = startMs;
    const probed = sample(this.#getUpstreams(), PROBES, this.#random);
    const accepted = await Promise.all(probed.map((upstream) => this.#probe(upstream)));
    this.#isChecking = false;
    if (probed.length === 0) {
      return;
    }
    const connected = accepted.filter(Boolean).length;
    const ids = probed.map(({ id }) => id);
    if (this.#isLost) {
      this.#judgeRestored(connected, ids);
    } else if (connected === 0 && this.#connectedMs < startMs) {
      this.#setLost(true, ids);
    }
  }

  #judgeRestored(connected: number, ids: readonly string[]): void {
    // One of the upstreams may have failed meanwhile.
    this.#restoredChecks = 2 * connected > ids.length ? this.#restoredChecks + 1 : 0;
    if (this.#restoredChecks >= RESTORED_CHECKS) {
      this.#setLost(false, ids);
    }
  }

  #setLost(isLost: boolean, probed: readonly string[]): void {
    this.#isLost = isLost;
    this.#restoredChecks = 0;
    const fields = { step: "connect", probed };
    if (isLost) {
      this.#logger.warn("links to upstreams lost", fields);
      this.#scheduleCheck();
    } else {
      this.#logger.info("links to upstreams restored", fields);
    }
    this.#onChange(isLost);
  }

  #scheduleCheck(): void {
    this.#cancelTimer = this.#clock.setTimer(() => {
      void this.#check().then(() => {
        if (this.#isLost && !this.#isStopped) {
          this.#scheduleCheck();
        }
      });
    }, CHECK_INTERVAL_MS);
  }
}
