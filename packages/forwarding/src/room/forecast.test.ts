import { expect } from "chai";

import { getRoomMs } from "../AdmissionControl.js";
import { CostBook } from "../costs/CostBook.js";
import { estimateRemaining, sumLoads, type TimedLoadItem } from "../load.js";
import { ManualClock } from "../testing/ManualClock.js";
import { ENGINE, newCandidates, newItem } from "../testing/samples.js";
import { forecastReleases } from "./forecast.js";

const OBSERVATIONS = 30;

const newTimed = (id: string, fields: Partial<TimedLoadItem>): TimedLoadItem => ({
  ...newItem(id),
  ...{ kvTokens: 50_000, sinceMs: 0, reportedMs: undefined, ...fields },
});

/** When the memory of these requests becomes free, with `u1` at half of the speed of others. */
const forecast = (items: readonly TimedLoadItem[], nowMs: number, learns = true): number[] => {
  const costs = new CostBook(new ManualClock());
  for (let at = 0; at < OBSERVATIONS; at++) {
    costs.paces.record("u1", 2, 0);
  }
  const options = { loads: sumLoads(items, nowMs), nowMs, costs: learns ? costs : undefined };
  const releases = forecastReleases(ENGINE, items, options);
  return [...releases.values()].flat().map(({ inMs }) => Math.round(inMs));
};

describe("room: when memory becomes free", () => {
  const reading = { phase: "reading" as const, readMs: 400 };
  const cases: readonly [name: string, items: readonly TimedLoadItem[], expected: number[]][] = [
    [
      "alike requests of tenfold cost end at their own times",
      [newTimed("a", { writeMs: 600 }), newTimed("b", { writeMs: 6_000 })],
      [500, 5_900],
    ],
    ["an answer longer than expected goes on", [newTimed("a", { writeMs: 50 })], [30]],
    [
      "an answer begins once its prompt is read",
      [newTimed("a", { ...reading, writeMs: 600 })],
      [900],
    ],
    [
      "a helper at half speed holds its memory and that of the decoder for longer",
      [newTimed("a", { ...reading, writeMs: 600, helpers: ["u1"], heldTokens: [9_000] })],
      [1_200, 1_200],
    ],
  ];
  for (const [name, items, expected] of cases) {
    it(name, () => {
      const found = forecast(items, 100);
      found.forEach((inMs, at) => {
        expect(inMs / (expected[at] ?? 0)).to.be.within(0.93, 1.07);
      });
      expect(found).to.have.length(expected.length);
    });
  }

  it("is later at half speed also for a process that doesn't tell the time of its answer", () => {
    const [usual = 0] = forecast([newTimed("a", { outputTokens: 800 })], 0);
    const [slow = 0] = forecast([newTimed("a", { outputTokens: 800, upstream: "u1" })], 0);
    const [unlearned = 0] = forecast(
      [newTimed("a", { outputTokens: 800, upstream: "u1" })],
      0,
      false,
    );
    expect(slow / usual).to.be.within(1.9, 2.1);
    expect(unlearned).to.equal(usual);
  });

  it("is the time that placement expects", () => {
    const item = newTimed("a", { writeMs: 1_000 });
    for (const nowMs of [0, 500, 900, 1_500]) {
      const { writeMs = 0 } = estimateRemaining(item, nowMs);
      expect(forecast([item], nowMs)).to.deep.equal([Math.round(writeMs)]);
    }
  });
});

describe("time to return of a prompt that a full pool rejects", () => {
  it("is the prefill that waits, also where ends are known: later returns cost callers more", () => {
    const { slots } = ENGINE;
    const endsMs = Array.from({ length: slots }, () => 900);
    const load = { inFlight: slots, pendingReadMs: 100, endsMs };
    expect(getRoomMs(newCandidates([load]))).to.equal(100);
  });
});
