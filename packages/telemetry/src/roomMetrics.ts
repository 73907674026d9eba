import { Gauge, type Registry } from "prom-client";

import { addCounts, QUANTILES } from "./gauges.js";

/** What a process knows of prompts that wait for KV memory, for `ForwardMetrics`. */
export interface RoomMetrics {
  readonly waiting: Readonly<Record<string, number>>;
  readonly promisedTokens: number;
  readonly promises: Readonly<Record<string, number>>;
  readonly rejected: Readonly<Record<string, number>>;
  readonly errorsMs: readonly number[];
}

/** Adds the metrics of prompts that wait for KV memory. */
export const addRoomMetrics = (registry: Registry, getRoom: () => RoomMetrics): void => {
  const registers = [registry];
  addCounts(
    registry,
    ["lycheepulley_room_waiting", "Prompts that wait for KV memory, by route", "route"],
    () => getRoom().waiting,
  );
  addCounts(
    registry,
    [
      "lycheepulley_room_promises",
      "Promises of KV memory since the start: used, lapsed or returned",
      "outcome",
    ],
    () => getRoom().promises,
  );
  addCounts(
    registry,
    [
      "lycheepulley_room_rejected",
      "Prompts rejected for lack of KV memory since the start",
      "cause",
    ],
    () => getRoom().rejected,
  );
  new Gauge({
    name: "lycheepulley_room_promised_tokens",
    help: "KV memory that prompts of this process wait for and are promised",
    registers,
    collect() {
      this.set(getRoom().promisedTokens);
    },
  });
  new Gauge({
    name: "lycheepulley_room_error_ms",
    help: "Difference between the promised and the actual time at which room was free",
    labelNames: ["quantile"],
    registers,
    collect() {
      this.reset();
      const { errorsMs } = getRoom();
      for (const quantile of errorsMs.length > 0 ? QUANTILES : []) {
        const index = Math.min(errorsMs.length - 1, Math.floor((quantile / 100) * errorsMs.length));
        this.set({ quantile: String(quantile / 100) }, errorsMs[index] ?? 0);
      }
    },
  });
};
