import { sleep, type Clock, type Random } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Upstream } from "./fleetConfig.js";
import type { FleetView } from "./FleetView.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** Time between the probes of a dead upstream. */
const PROBE_INTERVAL_MS = 1_000;
/** Ejections last from one probe to the next, with its time-out. */
const EJECTION_MS = 1_500;
/** An upstream that a peer reports as dead is left out while it is probed. */
const SUSPENSION_MS = 450;
/** The probes of many processes that hear the same report are spread over this time. */
const PROBE_SPREAD_MS = 100;

/**
 * Finds out by probes whether upstreams are dead, and tells the peers, so that not each process has to
 * lose requests there. A dead upstream seems idle, and would be the first choice of all.
 */
export class UpstreamWatch {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #view: FleetView;
  readonly #health: UpstreamHealth;
  readonly #probe: (upstream: Upstream) => Promise<boolean>;
  readonly #logger: Logger;
  readonly #tellPeers: (upstream: string) => void;
  readonly #probed = new Set<string>();
  readonly #dead = new Set<string>();
  readonly #stopped = new AbortController();

  constructor(options: {
    clock: Clock;
    random: Random;
    view: FleetView;
    health: UpstreamHealth;
    /** Tells whether an upstream accepts a connection. Never rejects. */
    probe: (upstream: Upstream) => Promise<boolean>;
    logger: Logger;
    /** Tells the peers that an upstream is dead. */
    tellPeers: (upstream: string) => void;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#view = options.view;
    this.#health = options.health;
    this.#probe = options.probe;
    this.#logger = options.logger;
    this.#tellPeers = options.tellPeers;
  }

  /** Ends all probes. */
  stop(): void {
    this.#stopped.abort();
  }

  /** True when the upstream accepts a connection now. Never rejects. */
  accepts(upstream: Upstream): Promise<boolean> {
    return this.#probe(upstream);
  }

  /** Probes an upstream that failed a request of this process, and tells the peers if it is dead. */
  suspect(id: string): void {
    void this.#check(id, undefined);
  }

  /** Probes an upstream that a peer found dead, which this process doesn't use meanwhile. */
  recordPeer(id: string, peer: string): void {
    if (this.#dead.has(id) || this.#probed.has(id)) {
      return;
    }
    this.#health.eject(id, SUSPENSION_MS);
    void this.#check(id, peer);
  }

  async #check(id: string, peer: string | undefined): Promise<void> {
    const { signal } = this.#stopped;
    const upstream = this.#view.upstreams.get(id);
    if (signal.aborted || !upstream || this.#dead.has(id) || this.#probed.has(id)) {
      return;
    }
    this.#probed.add(id);
    if (peer !== undefined) {
      await sleep(this.#clock, PROBE_SPREAD_MS * this.#random.next(), signal);
    }
    const isAlive = await this.#probe(upstream);
    this.#probed.delete(id);
    if (!isAlive) {
      this.#dead.add(id);
      this.#logger.info("upstream dead", { step: "send", peer: id, from: peer ?? "probe" });
      if (peer === undefined) {
        this.#tellPeers(id);
      }
      await this.#keepOut(upstream);
    } else if (peer !== undefined) {
      this.#health.lift(id);
    }
  }

  /** Keeps an upstream ejected until it answers a probe or is no longer listed. */
  async #keepOut(upstream: Upstream): Promise<void> {
    const { id } = upstream;
    const { signal } = this.#stopped;
    do {
      this.#health.eject(id, EJECTION_MS);
      await sleep(this.#clock, PROBE_INTERVAL_MS, signal);
    } while (!signal.aborted && this.#view.upstreams.has(id) && !(await this.#probe(upstream)));
    this.#dead.delete(id);
    if (!signal.aborted && this.#view.upstreams.has(id)) {
      this.#health.lift(id);
      this.#logger.info("upstream alive again", { step: "send", peer: id });
    }
  }
}
