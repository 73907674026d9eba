import { SeededRandom, type Clock } from "@lycheepulley/core";
import type { CrashReport, LostUpstream } from "@lycheepulley/forwarding";
import { expect } from "chai";
import { z } from "zod";

import { CrashMessages, crashReportSchema, joinReports, listStrikes } from "./crashMessages.js";
import { readsCrashRequests } from "./peerMessages.js";

const MAX_DATAGRAM_BYTES = 60_000;
const KEY_LENGTH = 64;
const CLOCK: Clock = { now: () => 0, wall: () => 0, setTimer: () => () => undefined };

/** How the build f4d53ec reads evidence. */
const part = z.string().min(1).max(64);
const earlierReport = z.object({
  lost: z
    .array(
      z.object({
        ...{ upstream: z.string(), lostAgoMs: z.number(), parts: z.array(part).max(64) },
        answeredAgoMs: z.number().optional(),
      }),
    )
    .max(8),
  sound: z.array(z.object({ part, begunAgoMs: z.number() })).max(128),
});

const newKeys = (prefix: string, count: number): string[] =>
  Array.from({ length: count }, (_, at) => `${prefix}${String(at)}`.padEnd(KEY_LENGTH, "x"));
const newLoss = (at: number, change: Partial<LostUpstream> = {}): LostUpstream => ({
  ...{ upstream: `u${String(at)}`, atMs: at, answeredMs: undefined },
  ...{ parts: ["a"], requests: ["f"], ...change },
});
const newReport = (lost: readonly LostUpstream[]): CrashReport => ({
  lost,
  sound: { part: [{ key: "a", begunMs: 3 }], request: [{ key: "f", begunMs: 4 }] },
});

describe("messages of evidence on crashes", () => {
  let messages: CrashMessages;
  beforeEach(() => {
    messages = new CrashMessages({ clock: CLOCK, random: new SeededRandom(1) });
  });

  const reports: readonly [name: string, report: CrashReport][] = [
    ["one loss", newReport([newLoss(1, { answeredMs: 7 })])],
    ["a hundred losses", newReport(Array.from({ length: 100 }, (_, at) => newLoss(at)))],
    ["sound answers alone", newReport([])],
    [
      "losses with as many names as an upstream may have",
      newReport(
        Array.from({ length: 8 }, (_, at) =>
          newLoss(at, {
            parts: newKeys(`p${String(at)}-`, 64),
            requests: newKeys(`r${String(at)}-`, 128),
          }),
        ),
      ),
    ],
  ];
  for (const [name, report] of reports) {
    // A process that had started was told eight losses at random, and a request went on to crash workers.
    it(`tell ${name} whole, in datagrams`, () => {
      const written = messages.write(report).map((message) => JSON.stringify(message));
      const read = joinReports(
        written.map((text) => messages.read(crashReportSchema.parse(JSON.parse(text)))),
      );
      const getLost = ({ lost }: CrashReport): unknown[] =>
        [...lost].sort((one, other) => one.atMs - other.atMs);
      expect(getLost(read)).to.deep.equal(getLost(report));
      expect(read.sound).to.deep.equal(report.sound);
      written.forEach((text) => expect(text.length).to.be.below(MAX_DATAGRAM_BYTES));
    });

    it(`tell ${name} to the earlier build, which reads no requests`, () => {
      for (const message of messages.write(report)) {
        const read = earlierReport.parse(JSON.parse(JSON.stringify(message)));
        expect(read.lost.map(({ upstream }) => upstream)).to.deep.equal(
          message.lost.map(({ upstream }) => upstream),
        );
      }
    });
  }

  it("name the losses that matter most first", () => {
    const others = Array.from({ length: 50 }, (_, at) => newLoss(at));
    const report = newReport([...others, newLoss(50, { requests: ["bad"] })]);
    const { lost } = messages.writeOne(report, new Set(["bad"]));
    expect(lost[0]?.upstream).to.equal("u50");
  });

  it("of the earlier build are read", () => {
    const lost = [{ upstream: "u1", lostAgoMs: 5, parts: ["a"], answeredAgoMs: 3 }];
    const sound = [{ part: "a", begunAgoMs: 2 }];
    const read = messages.read(crashReportSchema.parse({ lost, sound }));
    expect(read).to.deep.equal({
      lost: [{ upstream: "u1", atMs: -5, parts: ["a"], requests: [], answeredMs: -3 }],
      sound: { part: [{ key: "a", begunMs: -2 }], request: [] },
    });
  });

  it("tell processes that read no requests of each crash that counts", () => {
    const withdrawn = newLoss(2, { answeredMs: 9 });
    const report = newReport([newLoss(1, { requests: ["f", "g"] }), withdrawn]);
    expect(listStrikes(report)).to.deep.equal([
      { fingerprint: "f", upstream: "u1" },
      { fingerprint: "g", upstream: "u1" },
    ]);
    expect([undefined, 2, 3].map((protocol) => readsCrashRequests({ protocol }))).to.deep.equal([
      ...[false, false, true],
    ]);
  });
});
