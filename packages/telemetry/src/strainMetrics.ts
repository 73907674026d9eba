import { Counter, type Registry } from "prom-client";

import type { AnswerCost, AnswerCosts } from "./AnswerCosts.js";
import { addGauge } from "./gauges.js";
import type { ProcessStrain } from "./ProcessStrain.js";

/** What a process knows of its memory, its stalls and what answers cost it, for `ForwardMetrics`. */
export interface StrainMetrics {
  getFigures: () => ProcessStrain["figures"];
  getTotals: () => AnswerCosts["totals"];
}

const addTotals = (
  registry: Registry,
  [name, help]: readonly [string, string],
  getValues: () => readonly (readonly [pool: string, value: number])[],
): void => {
  new Counter({
    ...{ name, help, labelNames: ["pool"], registers: [registry] },
    collect() {
      this.reset();
      for (const [pool, value] of getValues()) {
        this.inc({ pool }, value);
      }
    },
  });
};

/** Adds the metrics of memory, stalls and answers' costs. */
export const addStrainMetrics = (
  registry: Registry,
  { getFigures, getTotals }: StrainMetrics,
): void => {
  const gauges: readonly (readonly [string, string, () => number])[] = [
    ["loop_stall_ms", "Longest stall of the event loop lately", () => getFigures().stallMs],
    ["loop_stalled_ms", "Time of long stalls since the start", () => getFigures().stalledMs],
    ["heap_used_bytes", "Used heap of the runtime", () => getFigures().heapUsed],
    ["heap_limit_bytes", "Heap at which the process ends", () => getFigures().heapLimit],
    ["external_bytes", "Buffers outside the heap", () => getFigures().external],
    ["rss_bytes", "Resident memory", () => getFigures().rss],
  ];
  for (const [name, help, getValue] of gauges) {
    addGauge(registry, [`lycheepulley_${name}`, help], getValue);
  }
  const getValues = (key: keyof AnswerCost) => (): (readonly [string, number])[] =>
    [...getTotals()].map(([pool, total]) => [pool, total[key]]);
  addTotals(
    registry,
    ["lycheepulley_answer_pieces_total", "Chunks and events of answers of upstreams, by pool"],
    getValues("pieces"),
  );
  addTotals(
    registry,
    ["lycheepulley_answer_bytes_total", "Bytes of answers of upstreams, by pool"],
    getValues("bytes"),
  );
};
