import { Gauge, type Registry } from "prom-client";

/** Quantiles that are told, in percent. */
export const QUANTILES = [50, 95, 99] as const;

/** Adds a gauge that is read when metrics are asked for. */
export const addGauge = (
  registry: Registry,
  [name, help]: readonly [string, string],
  getValue: () => number,
): void => {
  new Gauge({
    ...{ name, help, registers: [registry] },
    collect() {
      this.set(getValue());
    },
  });
};

/** Adds a gauge with a label that is read when metrics are asked for. */
export const addCounts = (
  registry: Registry,
  [name, help, label]: readonly [string, string, string],
  getCounts: () => Readonly<Record<string, number>>,
): void => {
  new Gauge({
    ...{ name, help, registers: [registry], labelNames: [label] },
    collect() {
      this.reset();
      for (const [value, count] of Object.entries(getCounts())) {
        this.set({ [label]: value }, count);
      }
    },
  });
};
