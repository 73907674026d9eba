import { expect } from "chai";

import { AnswerTimeline } from "./AnswerTimeline.js";
import { getDelayCost, getLatenessLoss } from "./lateness.js";

const VALUE = 20;

describe("getLatenessLoss", () => {
  const cases: readonly [targetLeftMs: number, deadlineLeftMs: number, ms: number, loss: number][] =
    [
      [3_000, 9_000, 1_000, 0],
      [3_000, 9_000, 3_500, 0.75 * VALUE],
      [3_000, 9_000, 9_500, VALUE],
      [-500, 9_000, 100, 0.75 * VALUE],
    ];
  for (const [targetLeftMs, deadlineLeftMs, ms, loss] of cases) {
    it(`is ${String(loss)} after ${String(ms)} ms with ${String(targetLeftMs)} ms left`, () => {
      expect(getLatenessLoss({ targetLeftMs, deadlineLeftMs, value: VALUE }, ms)).to.equal(loss);
    });
  }
});

describe("getDelayCost", () => {
  it("never exceeds the value that a request can still lose", () => {
    const late = { targetLeftMs: -7_000, deadlineLeftMs: 2_000, value: VALUE };
    expect(getDelayCost(late, 60_000)).to.equal(0.25 * VALUE);
    const onTime = { targetLeftMs: 10, deadlineLeftMs: 2_000, value: VALUE };
    expect(getDelayCost(onTime, 60_000)).to.equal(VALUE);
  });
});

describe("AnswerTimeline", () => {
  const route = { targetMs: 300, maxGapMs: 200 };
  const cases: readonly [name: string, eventsMs: number[], nowMs: number, leftMs: number][] = [
    ["before the first event", [], 1_100, 200],
    ["after an event in time", [1_250], 1_300, 150],
    ["after a late first event", [1_350], 1_360, 0],
    ["after a long gap", [1_250, 1_500], 1_510, 0],
  ];
  for (const [name, eventsMs, nowMs, leftMs] of cases) {
    it(`has ${String(leftMs)} ms left ${name}`, () => {
      const timeline = new AnswerTimeline(1_000, route);
      eventsMs.forEach((ms) => {
        timeline.record(ms);
      });
      expect(timeline.getTargetLeftMs(nowMs)).to.equal(leftMs);
    });
  }
});
