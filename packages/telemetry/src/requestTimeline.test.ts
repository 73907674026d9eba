import { expect } from "chai";

import { newRequestTimeline } from "./requestTimeline.js";

const newLine = (second: number, message: string, fields: object = {}): string =>
  JSON.stringify({
    ...{ requestId: "r1", process: "edge-1", level: "info", message, step: "send" },
    timestamp: new Date(second * 1_000).toISOString(),
    ...fields,
  });

describe("newRequestTimeline", () => {
  const sent = newLine(1, "sent to upstream", { peer: "u1" });
  const cases: readonly [name: string, lines: string[], end: string][] = [
    [
      "a whole answer",
      [newLine(2, "request ended", { result: "delivered" }), sent],
      "whole answer",
    ],
    ["a refusal", [sent, newLine(2, "request ended", { result: "refused" })], "did not run"],
    ["a failure", [sent, newLine(2, "request ended", { result: "failed" })], "may have run"],
    ["a rejection", [newLine(1, "request rejected", { status: 401 })], "rejected at admission"],
    ["a process that died", [sent], "don't show how this request ended"],
    ["nothing", [], "no lines of this request"],
  ];
  for (const [name, lines, end] of cases) {
    it(`describes ${name}`, () => {
      expect(newRequestTimeline("r1", lines).end).to.include(end);
    });
  }

  it("orders the lines of several processes by time and omits other requests", () => {
    const other = newLine(1, "sent to upstream", { requestId: "r11" });
    const lines = ["not JSON r1", newLine(3, "late", { process: "edge-2" }), other, `12.3 ${sent}`];
    const timeline = newRequestTimeline("r1", lines);
    expect(timeline.steps).to.deep.equal([
      { atMs: 0, process: "edge-1", text: "sent to upstream: peer u1" },
      { atMs: 2_000, process: "edge-2", text: "late: " },
    ]);
  });
});
