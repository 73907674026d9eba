import { expect } from "chai";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { ManualClock } from "../testing/ManualClock.js";
import { UpstreamLimits, type LimitReport } from "./UpstreamLimits.js";

/** Answer of upstream `u`: its limit, and when its request went out and its head arrived. */
type Answer = readonly [perSecond: number | undefined, sentMs: number, receivedMs: number];

const newReport = ([perSecond, sentMs, receivedMs]: Answer): LimitReport => ({
  ...{ upstream: "u", perSecond, sentMs, receivedMs },
});

const newLimits = (onOwnChange: (report: LimitReport) => void = () => undefined): UpstreamLimits =>
  new UpstreamLimits({ clock: new ManualClock(), logger: newSilentLogger(), onOwnChange });

describe("UpstreamLimits", () => {
  const cases: readonly [
    name: string,
    answers: readonly Answer[],
    perSecond: number | undefined,
  ][] = [
    ["no limit was named", [[undefined, 0, 10]], undefined],
    ["a limit was named", [[3, 0, 10]], 3],
    [
      "a later answer names none",
      [
        [3, 0, 10],
        [undefined, 10, 20],
      ],
      undefined,
    ],
    [
      "an answer without one crossed it",
      [
        [3, 0, 10],
        [undefined, 5, 20],
      ],
      3,
    ],
    [
      "an older answer without one arrives later",
      [
        [3, 10, 20],
        [undefined, 0, 5],
      ],
      3,
    ],
    [
      "a later answer raises it",
      [
        [3, 0, 10],
        [7, 10, 20],
      ],
      7,
    ],
    [
      "a later answer lowers it",
      [
        [3, 0, 10],
        [1, 10, 20],
      ],
      1,
    ],
    [
      "an answer that crossed it names a higher one",
      [
        [3, 0, 10],
        [7, 5, 20],
      ],
      3,
    ],
    [
      "an answer that crossed it names a lower one",
      [
        [3, 0, 10],
        [1, 5, 20],
      ],
      1,
    ],
    [
      "it is named again after it was lifted",
      [
        [3, 0, 10],
        [undefined, 10, 20],
        [2, 20, 30],
      ],
      2,
    ],
    [
      "an answer that crossed the lifting names it",
      [
        [3, 0, 10],
        [undefined, 10, 20],
        [3, 5, 15],
      ],
      3,
    ],
    [
      "an old answer names it after it was lifted",
      [
        [3, 0, 10],
        [undefined, 20, 30],
        [3, 5, 15],
      ],
      undefined,
    ],
    ["it is zero", [[0, 0, 10]], 0],
  ];
  for (const [name, answers, perSecond] of cases) {
    it(`knows ${perSecond === undefined ? "no limit" : `a limit of ${String(perSecond)}`} when ${name}`, () => {
      const limits = newLimits();
      answers.forEach((answer) => {
        limits.record(newReport(answer));
      });
      expect(limits.get("u")?.perSecond).to.equal(perSecond);
      expect(limits.all).to.have.length(perSecond === undefined ? 0 : 1);
    });
  }

  it("reports a change to peers once", () => {
    const changes: (number | undefined)[] = [];
    const limits = newLimits(({ perSecond }) => changes.push(perSecond));
    const answers: Answer[] = [
      [3, 0, 10],
      [3, 10, 20],
      [undefined, 20, 30],
      [undefined, 30, 40],
    ];
    answers.forEach((answer) => {
      limits.record(newReport(answer));
    });
    expect(changes).to.deep.equal([3, undefined]);
  });

  it("doesn't lift a limit by a peer's answer whose order is in doubt", () => {
    const limits = newLimits();
    limits.record(newReport([3, 0, 1_000]));
    limits.recordPeer("n", newReport([undefined, 1_400, 1_500]));
    expect(limits.get("u")?.perSecond).to.equal(3);
    limits.recordPeer("n", newReport([undefined, 1_600, 1_700]));
    expect(limits.get("u")).to.equal(undefined);
  });

  it("forgets an upstream that is gone, whose successor has another id", () => {
    const limits = newLimits();
    limits.record(newReport([3, 0, 10]));
    limits.retain(new Set(["v"]));
    expect(limits.get("u")).to.equal(undefined);
  });
});
