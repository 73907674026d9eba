import { expect } from "chai";

import { playPattern } from "./experiment.js";
import type { Incident, Pattern } from "./pattern.js";
import { PATTERNS } from "./patterns.js";
import type { LimitPeriod } from "./fleetRecords.js";

const TIMEOUT_MS = 180_000;
const WINDOW_MS = 4_000;
/** Time after an upstream named its limit until the limit holds. */
const SETTLE_MS = 3_000;

const newPattern = (processes: number, incidents: Incident[]): Pattern => {
  const [steady] = PATTERNS;
  if (!steady) {
    throw new Error("no patterns");
  }
  return { ...steady, processes, lengthMs: 20_000, incidents };
};

/** Most requests that arrived in one window while the limit held. */
const getMostArrivals = ({ arrivals, fromMs, untilMs }: LimitPeriod): number => {
  const inForce = arrivals.filter((atMs) => atMs >= fromMs + SETTLE_MS && atMs < untilMs);
  return Math.max(
    0,
    ...inForce.map(
      (startMs) => inForce.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS).length,
    ),
  );
};

const getAllowed = ({ perSecond }: LimitPeriod): number =>
  (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;

describe("limits that upstreams name", () => {
  const cases: readonly [processes: number, count: number, perSecond: number][] = [
    [6, 2, 1.3],
    [9, 4, 0.4],
    [90, 3, 0.25],
    [195, 3, 1.3],
  ];
  for (const [processes, count, perSecond] of cases) {
    // Guards against upstreams in need that get more than they take from all processes together.
    it(`are kept to by ${String(processes)} processes: ${String(perSecond)} a second`, async function () {
      this.timeout(TIMEOUT_MS);
      const limit = { kind: "limit" as const, atMs: 3_000, count, perSecond, forMs: 16_000 };
      const { limitPeriods } = await playPattern(newPattern(processes, [limit]), 1);
      expect(limitPeriods).to.have.length(count);
      for (const period of limitPeriods) {
        expect(getMostArrivals(period)).to.be.at.most(getAllowed(period));
      }
    });
  }
});
