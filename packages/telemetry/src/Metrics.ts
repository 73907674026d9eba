import { getLengthBand } from "@lycheepulley/core";
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

import { OverloadMetrics } from "./OverloadMetrics.js";

const QUANTILES = [50, 95, 99] as const;
const MAX_LATENCY_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Latency histograms by label set, exported as quantiles. */
class LatencyQuantiles {
  readonly #histograms = new Map<string, { labels: Record<string, string>; hdr: Histogram }>();

  record(labels: Record<string, string>, ms: number): void {
    const key = JSON.stringify(labels);
    let entry = this.#histograms.get(key);
    if (!entry) {
      const hdr = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      entry = { labels, hdr };
      this.#histograms.set(key, entry);
    }
    entry.hdr.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(ms))));
  }

  collectInto(gauge: Gauge): void {
    gauge.reset();
    for (const { labels, hdr } of this.#histograms.values()) {
      for (const quantile of QUANTILES) {
        const value = hdr.getValueAtPercentile(quantile);
        gauge.set({ ...labels, quantile: String(quantile / 100) }, value);
      }
    }
  }
}

/** Metrics of one entry process, in the Prometheus text format. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #firstToken = new LatencyQuantiles();
  readonly #duration = new LatencyQuantiles();
  readonly #requests: Counter;
  readonly #retries: Counter;
  /** Metrics of work that waits. */
  readonly overload: OverloadMetrics;

  constructor({ isOverloaded = () => false }: { isOverloaded?: () => boolean } = {}) {
    this.overload = new OverloadMetrics(this.#registry, isOverloaded);
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: "lycheepulley_requests_total",
      help: "Requests by class and end",
      labelNames: ["class", "state"],
      registers,
    });
    this.#retries = new Counter({
      name: "lycheepulley_retries_total",
      help: "Attempts after the first",
      registers,
    });
    const firstToken = this.#firstToken;
    new Gauge({
      name: "lycheepulley_first_token_ms",
      help: "Time to first token by class and prompt length band",
      labelNames: ["class", "band", "quantile"],
      registers,
      collect() {
        firstToken.collectInto(this);
      },
    });
    const duration = this.#duration;
    new Gauge({
      name: "lycheepulley_request_ms",
      help: "Time to the end of a request by class",
      labelNames: ["class", "quantile"],
      registers,
      collect() {
        duration.collectInto(this);
      },
    });
  }

  onFirstToken(className: string, promptTokens: number, ms: number): void {
    this.#firstToken.record({ class: className, band: getLengthBand(promptTokens) }, ms);
  }

  onEnd(className: string, state: string, ms: number): void {
    this.#requests.inc({ class: className, state });
    this.#duration.record({ class: className }, ms);
  }

  onRetry(): void {
    this.#retries.inc();
  }

  /** Adds a gauge whose values are read at each scrape. */
  addGauge(
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => readonly { readonly labels: Record<string, string>; readonly value: number }[],
  ): void {
    new Gauge({
      name: `lycheepulley_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.#registry],
      collect() {
        this.reset();
        read().forEach(({ labels, value }) => {
          this.set(labels, value);
        });
      },
    });
  }

  getText(): Promise<string> {
    return this.#registry.metrics();
  }
}
