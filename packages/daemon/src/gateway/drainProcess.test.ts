import { ProcessLifecycle, SystemClock } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { drainProcess } from "./drainProcess.js";

const HOLD_MS = 120;
const MAX_MS = 400;

describe("drainProcess", () => {
  const cases: readonly {
    name: string;
    load: { callers?: number; relays?: number; releasing?: number };
    /** Time after which the load ends; never when undefined. */
    holdMs?: number;
    takesMs: readonly [least: number, most: number];
  }[] = [
    { name: "ends at once where there is nothing to wait for", load: {}, takesMs: [0, 100] },
    {
      ...{ name: "waits for callers", load: { callers: 1 } },
      ...{ holdMs: HOLD_MS, takesMs: [HOLD_MS, MAX_MS] },
    },
    {
      ...{ name: "waits for connections that it relays", load: { relays: 1 } },
      ...{ holdMs: HOLD_MS, takesMs: [HOLD_MS, MAX_MS] },
    },
    // Memory of engines stayed set aside for seconds when a process ended while it released it.
    {
      ...{ name: "waits for memory that is being released", load: { releasing: 2 } },
      ...{ holdMs: HOLD_MS, takesMs: [HOLD_MS, MAX_MS] },
    },
    {
      ...{ name: "ends in time under a load that doesn't end", load: { callers: 1 } },
      takesMs: [MAX_MS, MAX_MS + 250],
    },
  ];
  for (const { name, load, holdMs = Infinity, takesMs } of cases) {
    it(name, async () => {
      const startMs = performance.now();
      const isHeld = (): boolean => performance.now() < startMs + holdMs;
      const done: string[] = [];
      const lifecycle = new ProcessLifecycle();
      await drainProcess({
        ...{ clock: new SystemClock(), logger: newSilentLogger(), lifecycle, reason: "test" },
        ...{ drainMs: MAX_MS, isKnown: false },
        listener: {
          requests: 0,
          connections: {
            ...{ size: 0, unused: 0, partial: 0 },
            countInProgress: () => (isHeld() ? (load.callers ?? 0) : 0),
          },
          close: () => done.push("close"),
          closeUnused: () => done.push("close unused"),
          destroy: () => done.push("destroy"),
        },
        relays: {
          get open() {
            return isHeld() ? (load.relays ?? 0) : 0;
          },
        },
        forwarder: {
          get releasing() {
            return isHeld() ? (load.releasing ?? 0) : 0;
          },
        },
      });
      expect(performance.now() - startMs).to.be.within(...takesMs);
      expect(done).to.deep.equal(["close", "close unused", "destroy"]);
    });
  }
});
