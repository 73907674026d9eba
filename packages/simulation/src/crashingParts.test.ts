import { expect } from "chai";

import { playPattern, type PatternPlay } from "./experiment.js";
import type { Incident, Pattern } from "./pattern.js";
import { PATTERNS } from "./patterns.js";
import type { RequestRecord } from "./SimulatedCaller.js";

const TIMEOUT_MS = 180_000;
const CRASHING_FROM_MS = 8_000;
const CRASHING_MS = 20_000;
const KNOWN_CRASHES = 5;
const SETTLE_MS = 3_000;
const ALLOWED_ARRIVALS = 3;
const FIRST_PARTS = 8;
/** First part of the crashing prompts. */
const SHARED_PART = "short-0";

const newPattern = (processes: number, incidents: Incident[]): Pattern => {
  const [steady] = PATTERNS;
  if (!steady) {
    throw new Error("no patterns");
  }
  return { ...steady, processes, firstParts: FIRST_PARTS, lengthMs: 30_000, incidents };
};

const newCrashing = (perSecond: number): Incident => ({
  ...{ kind: "crashingPart", atMs: CRASHING_FROM_MS, forMs: CRASHING_MS, perSecond, backMs: 3_000 },
});

const getKnownMs = ({ partCrashes }: PatternPlay): number =>
  partCrashes.slice(0, KNOWN_CRASHES).at(-1) ?? Infinity;

/** Share of the sound prompts with the crashing ones' first part that were served at the first attempt. */
const getServedShare = (
  records: readonly RequestRecord[],
  fromMs: number,
  untilMs: number,
): number => {
  const asked = records.filter(
    ({ parts, askedMs }) =>
      parts.length === 1 && parts[0] === SHARED_PART && askedMs >= fromMs && askedMs < untilMs,
  );
  expect(asked.length).to.be.above(10);
  const served = asked.filter(
    ({ result, attempts }) => attempts === 1 && (result === "inTime" || result === "late"),
  );
  return served.length / asked.length;
};

describe("a part of prompts that crashes upstreams", () => {
  for (const [processes, perSecond, seed] of [
    [6, 4, 1],
    [6, 20, 2],
    [90, 4, 3],
    [90, 20, 4],
    [195, 10, 5],
  ] as const) {
    // Guards against upstreams that end one after the other, and sound prompts that are turned away for it.
    it(`is kept from them by ${String(processes)} processes, at ${String(perSecond)} prompts a second`, async function () {
      this.timeout(TIMEOUT_MS);
      const play = await playPattern(newPattern(processes, [newCrashing(perSecond)]), seed);
      const late = play.crashingArrivals.filter((atMs) => atMs > getKnownMs(play) + SETTLE_MS);
      expect(play.partCrashes.length).to.be.above(0);
      expect(late.length).to.be.at.most(ALLOWED_ARRIVALS);
      const before = getServedShare(play.records, 0, CRASHING_FROM_MS);
      const untilMs = CRASHING_FROM_MS + CRASHING_MS;
      const meanwhile = getServedShare(play.records, getKnownMs(play) + 2 * SETTLE_MS, untilMs);
      expect(meanwhile).to.be.above(before / 2);
    });
  }

  // Guards against bystanders that are taken for the cause when processes restart with empty memory.
  it("is kept from them while all processes restart", async function () {
    this.timeout(TIMEOUT_MS);
    const restart: Incident = { kind: "restart", atMs: 15_000, downMs: 500 };
    const play = await playPattern(newPattern(6, [newCrashing(10), restart]), 6);
    const late = play.crashingArrivals.filter((atMs) => atMs > 18_000);
    expect(late.length).to.be.at.most(ALLOWED_ARRIVALS);
  });
});
