import type { StatusReporter } from "@lycheepulley/serving";
import type { Metrics } from "@lycheepulley/telemetry";

const MS_PER_S = 1_000;

/** Adds gauges on a process's own control work to its metrics. */
export const addNodeGauges = (metrics: Metrics, status: StatusReporter): void => {
  const single = (name: string, help: string, read: () => number): void => {
    metrics.addGauge(name, help, [], () => [{ labels: {}, value: read() }]);
  };
  single("cpu_seconds", "Processor time used", () => status.getStatus().cpuMs / MS_PER_S);
  single("resident_bytes", "Resident memory", () => status.getStatus().rssBytes);
  single("log_appends", "Appends to the log", () => status.getStatus().logAppends);
  single("log_reads", "Reads of the log", () => status.getStatus().logReads);
  single("queued_requests", "Requests waiting in owned pools", () => status.getStatus().queued);
  single("claim_keys", "Idempotency keys remembered", () => status.getStatus().claimKeys);
  single(
    "freed_holdings",
    "KV holdings freed without an owner",
    () => status.getStatus().freedHoldings,
  );
  metrics.addGauge("control_bytes", "Control traffic by peer", ["peer", "direction"], () =>
    Object.entries(status.getStatus().traffic).flatMap(([peer, { sentBytes, receivedBytes }]) => [
      { labels: { peer, direction: "sent" }, value: sentBytes },
      { labels: { peer, direction: "received" }, value: receivedBytes },
    ]),
  );
};
