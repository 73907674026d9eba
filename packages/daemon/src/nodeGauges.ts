import type { StatusReporter } from "@lycheepulley/serving";
import type { Metrics } from "@lycheepulley/telemetry";

const MS_PER_S = 1_000;

/** Registers gauges for a process's resource use, log access, queues and control traffic. */
export const addNodeGauges = (metrics: Metrics, status: StatusReporter): void => {
  const addSingleGauge = (name: string, help: string, read: () => number): void => {
    metrics.addGauge(name, help, [], () => [{ labels: {}, value: read() }]);
  };
  addSingleGauge("cpu_seconds", "Processor time used", () => status.getStatus().cpuMs / MS_PER_S);
  addSingleGauge("resident_bytes", "Resident memory", () => status.getStatus().rssBytes);
  addSingleGauge("log_appends", "Appends to the log", () => status.getStatus().logAppends);
  addSingleGauge("log_reads", "Reads of the log", () => status.getStatus().logReads);
  addSingleGauge(
    "queued_requests",
    "Requests waiting in owned pools",
    () => status.getStatus().queued,
  );
  addSingleGauge("claim_keys", "Idempotency keys remembered", () => status.getStatus().claimKeys);
  addSingleGauge(
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
