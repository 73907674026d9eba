import { Counter, Gauge, Histogram, type Registry } from "prom-client";

/** Bounds of the buckets for waits before a request is read. */
const WAIT_BUCKETS_MS = [1, 5, 20, 40, 100, 250, 500, 1_000, 2_500, 10_000];

/** Metrics of work that waits for a process, in the Prometheus text format. */
export class OverloadMetrics {
  readonly #waits: Histogram;
  readonly #rejected: Counter;

  constructor(registry: Registry, isOverloaded: () => boolean) {
    const registers = [registry];
    this.#waits = new Histogram({
      name: "lycheepulley_request_wait_ms",
      help: "Time that requests may have waited for this process before it read them",
      buckets: WAIT_BUCKETS_MS,
      registers,
    });
    this.#rejected = new Counter({
      name: "lycheepulley_overload_rejected_total",
      help: "Connections and requests rejected because they would have waited too long",
      registers,
    });
    new Gauge({
      name: "lycheepulley_overloaded",
      help: "1 while requests wait longer for this process than it can bear",
      registers,
      collect() {
        this.set(Number(isOverloaded()));
      },
    });
  }

  /** Records the time that a request may have waited before it was read, milliseconds. */
  onWait(waitMs: number): void {
    this.#waits.observe(waitMs);
  }

  /** Counts a connection or a request that was rejected. */
  onRejected(): void {
    this.#rejected.inc();
  }
}
