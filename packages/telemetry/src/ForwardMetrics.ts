import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

import { addCounts, addGauge, QUANTILES } from "./gauges.js";
import { OverloadMetrics } from "./OverloadMetrics.js";
import { addRoomMetrics, type RoomMetrics } from "./roomMetrics.js";
import { addStrainMetrics, type StrainMetrics } from "./strainMetrics.js";

const MAX_LATENCY_MS = 3_600_000;

/** What a process knows of cold upstreams, for {@link ForwardMetrics}. */
export interface ColdMetrics {
  /** Cold upstreams now. */
  readonly count: number;
  /** Sends that this process asked for at cold upstreams since the start, by outcome: used or refused. */
  readonly sends: Readonly<Record<string, number>>;
}

/** What a process knows of its configuration, for {@link ForwardMetrics}. */
export interface ConfigMetrics {
  /** Revision in force; -1 before one is known. */
  readonly revision: number;
  /** Configurations refused since the start. */
  readonly refused: number;
  /** Time for which a newer revision has been known to exist, milliseconds. */
  readonly behindMs: number;
}

/** Metrics of a forwarding process, in the Prometheus text format. */
export class ForwardMetrics {
  readonly #registry = new Registry();
  readonly #latencies = new Map<string, Histogram>();
  readonly #requests: Counter;
  readonly #sends: Counter;
  readonly #invalid: Counter;
  readonly #flooded: Counter;
  readonly #listEpoch: Gauge;
  /** Metrics of work that waits. */
  readonly overload: OverloadMetrics;

  /**
   * `countLimited` returns the number of upstreams that name a limit, `countParts` that of suspect parts of
   * prompts by status, `countDetours` that of the connections made through peers.
   */
  constructor({
    countLimited,
    countResting,
    countParts,
    countRequests = () => 0,
    countDetours,
    hasLostLinks,
    countEvacuated,
    getRoom,
    getHeldBytes = () => 0,
    getShares,
    getCrossedBytes = () => ({}),
    getCold = () => ({ count: 0, sends: {} }),
    getConfig = () => ({ revision: -1, refused: 0, behindMs: 0 }),
    isOverloaded = () => false,
    strain,
  }: {
    countLimited: () => number;
    countResting: () => number;
    countParts: () => Readonly<Record<string, number>>;
    countRequests?: () => number;
    countDetours: () => number;
    hasLostLinks: () => boolean;
    countEvacuated: () => number;
    /** Undefined for a process whose prompts never wait. */
    getRoom?: () => RoomMetrics;
    /** Bytes held for callers and upstreams. */
    getHeldBytes?: () => number;
    /** Part of each pool's work by customer; undefined where customers have no shares. */
    getShares?: () => readonly { pool: string; customer: string; share: number }[];
    /** Bytes between failure domains since the start, by cause. */
    getCrossedBytes?: () => Readonly<Record<string, number>>;
    getCold?: () => ColdMetrics;
    getConfig?: () => ConfigMetrics;
    isOverloaded?: () => boolean;
    strain?: StrainMetrics;
  }) {
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: "lycheepulley_forwarded_total",
      help: "Forwarded requests by route and result",
      labelNames: ["route", "result"],
      registers,
    });
    this.#sends = new Counter({
      name: "lycheepulley_sends_total",
      help: "Sends to upstreams by route",
      labelNames: ["route"],
      registers,
    });
    this.#invalid = new Counter({
      name: "lycheepulley_invalid_answers_total",
      help: "Answers of upstreams that were invalid, by what was wrong",
      labelNames: ["fault"],
      registers,
    });
    this.#flooded = new Counter({
      name: "lycheepulley_flooded_answers_total",
      help: "Answers of upstreams that were ended as floods, by what came without end",
      labelNames: ["form"],
      registers,
    });
    this.overload = new OverloadMetrics(this.#registry, isOverloaded);
    this.#listEpoch = new Gauge({
      name: "lycheepulley_list_epoch",
      help: "Epoch of the list of upstreams; rises when its service was restored from an older copy",
      registers,
    });
    new Gauge({
      name: "lycheepulley_limited_upstreams",
      help: "Upstreams that name a limit on the requests that they take",
      registers,
      collect() {
        this.set(countLimited());
      },
    });
    new Gauge({
      name: "lycheepulley_resting_upstreams",
      help: "Upstreams that want no requests from this process for some time",
      registers,
      collect() {
        this.set(countResting());
      },
    });
    new Gauge({
      name: "lycheepulley_upstream_links_lost",
      help: "1 while this process reaches no upstream itself and connects through peers",
      registers,
      collect() {
        this.set(hasLostLinks() ? 1 : 0);
      },
    });
    new Gauge({
      name: "lycheepulley_evacuated_domains",
      help: "Failure domains that operators evacuate, to which nothing new is sent",
      registers,
      collect() {
        this.set(countEvacuated());
      },
    });
    new Gauge({
      name: "lycheepulley_held_bytes",
      help: "Bytes held for callers and upstreams: bodies, collected answers, unread answers",
      registers,
      collect() {
        this.set(getHeldBytes());
      },
    });
    new Gauge({
      name: "lycheepulley_detours",
      help: "Connections to upstreams made through peers since the start",
      registers,
      collect() {
        this.set(countDetours());
      },
    });
    addCounts(
      this.#registry,
      [
        "lycheepulley_suspect_parts",
        "Parts of prompts that may crash upstreams, by status: suspected or blocked",
        "status",
      ],
      countParts,
    );
    addCounts(
      this.#registry,
      ["lycheepulley_crossed_bytes", "Bytes between failure domains since the start", "cause"],
      getCrossedBytes,
    );
    addCounts(
      this.#registry,
      ["lycheepulley_cold_sends", "Sends asked for at cold upstreams since the start", "outcome"],
      () => getCold().sends,
    );
    new Gauge({
      name: "lycheepulley_cold_upstreams",
      help: "Upstreams that are cold and share a rate among all processes",
      registers,
      collect() {
        this.set(getCold().count);
      },
    });
    addGauge(
      this.#registry,
      ["lycheepulley_blocked_requests", "Requests that aren't sent since they crashed upstreams"],
      countRequests,
    );
    addGauge(
      this.#registry,
      ["lycheepulley_config_revision", "Revision of the configuration in force, -1 for none"],
      () => getConfig().revision,
    );
    addGauge(
      this.#registry,
      ["lycheepulley_config_refused", "Configurations refused since the start"],
      () => getConfig().refused,
    );
    addGauge(
      this.#registry,
      ["lycheepulley_config_behind_ms", "Time for which a newer revision has been known to exist"],
      () => getConfig().behindMs,
    );
    if (getRoom) {
      addRoomMetrics(this.#registry, getRoom);
    }
    if (strain) {
      addStrainMetrics(this.#registry, strain);
    }
    new Gauge({
      name: "lycheepulley_customer_use",
      help: "Part of a pool's work of the last seconds that was for a customer, 0 to 1",
      labelNames: ["pool", "customer"],
      registers,
      collect() {
        this.reset();
        for (const { pool, customer, share } of getShares?.() ?? []) {
          this.set({ pool, customer }, share);
        }
      },
    });
    const latencies = this.#latencies;
    new Gauge({
      name: "lycheepulley_forward_ms",
      help: "Latency by route; first for the first event, total for the end",
      labelNames: ["route", "part", "quantile"],
      registers,
      collect() {
        this.reset();
        for (const [key, histogram] of latencies) {
          const [part = "", route = ""] = key.split("|");
          for (const quantile of QUANTILES) {
            const labels = { route, part, quantile: String(quantile / 100) };
            this.set(labels, histogram.getValueAtPercentile(quantile));
          }
        }
      },
    });
  }

  /** Counts an answer of an upstream that is invalid; `form` tells what came without end. */
  onInvalid({ fault, form }: { fault: string; form?: string | undefined }): void {
    this.#invalid.inc({ fault });
    if (form !== undefined) {
      this.#flooded.inc({ form });
    }
  }

  /** Records an ended request: its result, its sends to upstreams and its latencies. */
  onEnd(end: {
    readonly route: string;
    readonly result: string;
    readonly firstMs: number | undefined;
    readonly totalMs: number;
    readonly sends: number;
  }): void {
    this.#requests.inc({ route: end.route, result: end.result });
    this.#sends.inc({ route: end.route }, end.sends);
    this.#record("total", end.route, end.totalMs);
    if (end.firstMs !== undefined) {
      this.#record("first", end.route, end.firstMs);
    }
  }

  /** Sets the epoch of the list of upstreams in force; 0 for a service without epochs. */
  setListEpoch(epoch: number): void {
    this.#listEpoch.set(epoch);
  }

  getText(): Promise<string> {
    return this.#registry.metrics();
  }

  #record(part: string, route: string, ms: number): void {
    const key = `${part}|${route}`;
    let histogram = this.#latencies.get(key);
    if (!histogram) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#latencies.set(key, histogram);
    }
    histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(ms))));
  }
}
