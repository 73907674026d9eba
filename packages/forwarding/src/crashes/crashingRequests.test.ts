import { expect } from "chai";

import {
  DAY_MS,
  describeStanding,
  newEvidence,
  play,
  record,
  type Event,
} from "../testing/crashEvents.js";
import { ManualClock } from "../testing/ManualClock.js";

/** Upstreams lost one after the other under one request, each prompt of which has a part that others share. */
const lostUnder = (request: string, atMs: readonly number[]): Event[] =>
  atMs.map((ms, index) => ["lost", ms, `u${String(index + 1)}`, ["a"], request]);

describe("CrashEvidence on whole requests", () => {
  const requests: readonly [
    name: string,
    events: readonly Event[],
    expected: Readonly<Record<string, string | number>>,
    untilMs?: number,
  ][] = [
    ["sends a request freely after two losses", lostUnder("f", [0, 10]), { f: "free" }],
    ["blocks a request at the third loss", lostUnder("f", [0, 10, 20]), { f: 30_020, g: "free" }],
    [
      "blocks a request at the third loss, whatever parts its prompt has",
      [["sound", 0, ["a"]], ...lostUnder("f", [1, 10, 20])],
      { f: 30_020, g: "free" },
    ],
    // Crashes were forgotten 60 s after the last one, while the request still came.
    ["keeps the block for a day", lostUnder("f", [0, 10, 20]), { f: "trial of f" }, DAY_MS],
    ["forgets the block after a day", lostUnder("f", [0, 10, 20]), { f: "free" }, DAY_MS + 21],
    [
      "blocks a request that comes once in some minutes",
      lostUnder("f", [0, 600_000, 1_200_000]),
      { f: 1_230_000 },
    ],
    [
      "clears a request with an answer to an equal one",
      [...lostUnder("f", [0, 10, 20]), ["sound", 30, [], "f"]],
      { f: "free" },
    ],
    [
      "leaves a request in constant use free when upstreams end at one moment",
      [["sound", 0, [], "f"], ...lostUnder("f", [1, 2, 3])],
      { f: "free" },
    ],
    [
      "blocks a request that was sound before, once losses go on",
      [["sound", 0, [], "f"], ...lostUnder("f", [1, 2, 2_100])],
      { f: 32_100 },
    ],
    [
      "doesn't count an upstream that answered a request which was sent later",
      [...lostUnder("f", [0, 10, 20]), ["answered", 30, "u2"]],
      { f: "free" },
    ],
    [
      "waits for an hour after the third trial that failed",
      lostUnder("f", [0, 10, 20, 30_020, 90_020, 210_020]),
      { f: 210_020 + 3_600_000 },
    ],
  ];
  for (const [name, events, expected, untilMs] of requests) {
    it(`${name}, as a whole request`, async () => {
      const evidence = await play(events, untilMs);
      const found = Object.keys(expected).map((key) => [key, describeStanding(evidence, [], key)]);
      expect(Object.fromEntries(found)).to.deep.equal(expected);
    });
  }

  // A part that was sound before went free, since the new request that names it explained each loss.
  it("blocks a part that was sound before under requests that are all new", async () => {
    const events = [5, 900, 2_100].map((ms, at): Event => {
      const name = String(at);
      return ["lost", ms, `u${name}`, ["a"], `f${name}`];
    });
    const evidence = await play([["sound", 0, ["a"]], ...events]);
    expect(describeStanding(evidence, ["a"], "f9")).to.equal(32_100);
  });

  // 2,000 requests with one crash each pushed out one that was blocked.
  it("keeps a block while thousands of other upstreams are lost", async () => {
    const others = Array.from({ length: 2_000 }, (_, at): Event => {
      const name = String(at);
      return ["lost", 30 + at, `v${name}`, [], `g${name}`];
    });
    const evidence = await play([...lostUnder("f", [0, 10, 20]), ...others]);
    expect(describeStanding(evidence, [], "f")).to.equal(30_020);
  });

  it("clears a request in all processes once one of them has answered it", async () => {
    const clock = new ManualClock();
    const peer = newEvidence(clock);
    const evidence = newEvidence(clock, (report) => {
      peer.recordPeer("n0", report);
    });
    lostUnder("f", [0, 0, 0]).forEach((event) => {
      record(evidence, event);
    });
    const before = describeStanding(peer, [], "f");
    await clock.advance(10);
    evidence.recordSound([], clock.now(), "f");
    expect([before, describeStanding(peer, [], "f")]).to.deep.equal([30_000, "free"]);
  });
});
