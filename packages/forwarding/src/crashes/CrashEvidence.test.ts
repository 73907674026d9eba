import { expect } from "chai";
import fc from "fast-check";

import { ManualClock } from "../testing/ManualClock.js";
import {
  DAY_MS,
  describeStanding,
  newEvidence,
  play,
  record,
  type Event,
} from "../testing/crashEvents.js";
import type { CrashReport } from "./CrashEvidence.js";

const lost = (atMs: number, upstream: string, ...parts: string[]): Event => [
  ...(["lost", atMs, upstream, parts] as const),
];
const THREE = [lost(0, "u1", "bad"), lost(10, "u2", "bad"), lost(20, "u3", "bad")];

describe("CrashEvidence", () => {
  const cases: readonly [
    name: string,
    events: readonly Event[],
    expected: Readonly<Record<string, string | number>>,
    untilMs?: number,
  ][] = [
    ["accuses no part before a loss", [["sound", 0, ["a"]]], { a: "free", b: "free" }],
    ["has a new part tried alone after one loss", [lost(0, "u1", "bad")], { bad: "trial of bad" }],
    ["blocks a new part at the third loss", THREE, { bad: 30_020 }],
    [
      "doubles the time to the next trial with each loss",
      [...THREE, lost(30_000, "u4", "bad"), lost(90_000, "u5", "bad")],
      { bad: 210_000 },
    ],
    ["lets a blocked part be tried when its time has come", THREE, { bad: "trial of bad" }, 30_021],
    // It was forgotten after two intervals, and three more upstreams were lost whenever the part came back later.
    ["keeps a block that no request came to try", THREE, { bad: "trial of bad" }, DAY_MS],
    ["forgets a block after a day", THREE, { bad: "free" }, DAY_MS + 21],
    [
      "waits for an hour after the third trial that failed",
      [...THREE, ...[30_020, 90_020, 210_020].map((ms, at) => lost(ms, `v${String(at)}`, "bad"))],
      { bad: 210_020 + 3_600_000 },
    ],
    ["forgets a single loss", [lost(0, "u1", "bad")], { bad: "free" }, 60_001],
    [
      "accuses no part that was sound before, beside one that never was",
      [["sound", 0, ["a"]], lost(5, "u1", "a", "bad"), lost(9, "u2", "a", "bad")],
      { a: "free", bad: "trial of bad", "a bad": "trial of bad" },
    ],
    [
      "clears a part with a sound answer after the losses",
      [...THREE, ["sound", 30, ["bad"]]],
      { bad: "free" },
    ],
    [
      "counts one upstream once, however many requests or processes report it",
      [lost(0, "u1", "bad"), lost(1, "u1", "bad"), lost(2, "u1", "bad", "b"), lost(3, "u1", "bad")],
      { bad: "trial of bad" },
    ],
    [
      "doesn't count an upstream that answered a request which was sent later",
      [...THREE, ["answered", 30, "u2"]],
      { bad: "trial of bad" },
    ],
    [
      "doesn't count an upstream that answered later before it is reported again",
      [["answered", 5, "u1"], ["answered", 6, "u2"], ...[lost(6, "u1", "b"), lost(7, "u2", "b")]],
      { b: "trial of b" },
    ],
    [
      "counts an upstream that lived on after a reset and is lost later",
      [...THREE, ["answered", 30, "u2"], lost(40, "u2", "bad")],
      { bad: 30_040 },
    ],
    [
      "accuses only the parts of the later loss then",
      [lost(0, "u1", "a"), ["answered", 10, "u1"], lost(20, "u1", "bad")],
      { a: "free", bad: "trial of bad" },
    ],
    [
      "accuses nobody when all upstreams seem lost to this process alone",
      [...THREE, ...["u1", "u2", "u3"].map((id): Event => ["answered", 21, id])],
      { bad: "free" },
    ],
    [
      "leaves a part in constant use free when upstreams end at one moment",
      [["sound", 0, ["a"]], lost(5, "u1", "a"), lost(5, "u2", "a"), lost(6, "u3", "a")],
      { a: "free" },
    ],
    [
      "blocks a part that was sound before, once losses go on without a sound answer",
      [["sound", 0, ["a"]], lost(5, "u1", "a"), lost(900, "u2", "a"), lost(2_100, "u3", "a")],
      { a: 32_100 },
    ],
    [
      "tells a part from another that is always beside it by requests with one of them",
      [lost(0, "u1", "a", "bad"), lost(1, "u2", "a", "bad"), lost(2, "u3", "a", "bad")],
      { a: "trial of a", bad: "trial of bad", "a bad": 30_002, "bad c": "trial of bad" },
    ],
    [
      "leaves only the guilty part blocked after the trial of the other",
      [
        ...[lost(0, "u1", "a", "bad"), lost(1, "u2", "a", "bad"), lost(2, "u3", "a", "bad")],
        ["sound", 50, ["a"]],
      ],
      { a: "free", bad: 30_002, "bad c": 30_002 },
    ],
    [
      "doesn't block bystanders of different crashes",
      [lost(0, "u1", "bad", "a"), lost(1, "u2", "bad", "b"), lost(2, "u3", "bad", "c")],
      { a: "trial of a", b: "trial of b", bad: 30_002 },
    ],
  ];
  for (const [name, events, expected, untilMs] of cases) {
    it(name, async () => {
      const evidence = await play(events, untilMs);
      const found = Object.keys(expected).map((parts) => [
        parts,
        describeStanding(evidence, parts.split(" ")),
      ]);
      expect(Object.fromEntries(found)).to.deep.equal(expected);
    });
  }

  // Guards against processes that name the losses of one moment in different orders.
  it("names losses of one moment in the same order, whichever was told first", async () => {
    const upstreams = await Promise.all(
      [
        [lost(5, "u1", "bad"), lost(5, "u2", "bad")],
        [lost(5, "u2", "bad"), lost(5, "u1", "bad")],
      ].map(async (events) => (await play(events)).suspects.map((part) => part.upstreams)),
    );
    expect(upstreams[0]).to.deep.equal(upstreams[1]);
  });

  it("is lifted by an operator, once there is a suspicion", async () => {
    const evidence = await play(THREE);
    expect([evidence.lift("other"), evidence.lift("bad")]).to.deep.equal([false, true]);
    expect(describeStanding(evidence, ["bad"])).to.equal("free");
  });

  it("names the parts under suspicion with their losses", async () => {
    const evidence = await play([...THREE, lost(20, "u4", "other")]);
    expect(evidence.suspects).to.deep.equal([
      {
        ...{
          key: "bad",
          kind: "part",
          status: "blocked",
          upstreams: ["u1", "u2", "u3"],
          lastLostMs: 20,
        },
        blockedUntilMs: 30_020,
      },
      {
        ...{ key: "other", kind: "part", status: "suspected", upstreams: ["u4"], lastLostMs: 20 },
        blockedUntilMs: undefined,
      },
    ]);
  });

  // Guards against state that grows with the parts that callers name.
  it("keeps a bounded number of losses and parts", async () => {
    const evidence = newEvidence();
    for (let index = 0; index < 5_000; index += 1) {
      evidence.recordSound([`s${String(index)}`], 0);
      evidence.recordLoss(`u${String(index)}`, [`p${String(index)}`]);
    }
    evidence.recordLoss(
      "u",
      Array.from({ length: 1_000 }, (_, index) => `q${String(index)}`),
    );
    const { lost: losses } = evidence.getReport();
    expect(losses.length).to.be.at.most(200);
    expect(losses.at(-1)?.parts.length).to.be.at.most(64);
    await Promise.resolve();
  });

  // Guards against processes that differ because datagrams are lost, repeated or reordered.
  it("comes to the same conclusions in all processes, whatever the order of the reports", () => {
    const upstream = fc.constantFrom("u1", "u2", "u3", "u4", "u5");
    const part = fc.constantFrom("a", "b", "c", "bad");
    const request = fc.constantFrom("f1", "f2", undefined);
    const event: fc.Arbitrary<Event> = fc.oneof(
      fc.tuple(
        fc.constant("lost"),
        fc.nat(50),
        upstream,
        fc.array(part, { minLength: 1 }),
        request,
      ),
      fc.tuple(fc.constant("answered"), fc.nat(50), upstream),
      fc.tuple(
        ...[
          fc.constant("sound"),
          fc.nat(50),
          fc.array(part, { minLength: 1, maxLength: 2 }),
          request,
        ],
      ),
    ) as fc.Arbitrary<Event>;
    return fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 12 }), fc.nat(), async (events, seed) => {
        const clock = new ManualClock();
        const reports: CrashReport[] = [];
        const evidence = newEvidence(clock, (report) => reports.push(report));
        for (const one of [...events].sort((x, y) => x[1] - y[1])) {
          await clock.advance(Math.max(0, one[1] - clock.now()));
          record(evidence, one);
        }
        const peer = newEvidence(clock);
        const shuffled = [...reports, ...reports, evidence.getReport()].sort(
          (x, y) =>
            ((JSON.stringify(x).length * seed) % 7) - ((JSON.stringify(y).length * seed) % 7),
        );
        shuffled.forEach((report) => {
          peer.recordPeer("n1", report);
        });
        expect(peer.suspects).to.have.deep.members([...evidence.suspects]);
      }),
      { numRuns: 300 },
    );
  });
});
