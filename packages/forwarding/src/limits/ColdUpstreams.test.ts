import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import type { ColdStart } from "../fleetConfig.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newUpstream } from "../testing/samples.js";
import { ColdUpstreams, type ColdReport } from "./ColdUpstreams.js";

const COLD_START: ColdStart = { durationMs: 3_000, perSecond: 4 };

interface Harness {
  readonly clock: ManualClock;
  readonly cold: ColdUpstreams;
  readonly news: ColdReport[];
  /** Takes a list that names the time for which `u` stays cold. */
  list(coldMs: number | undefined, isDirect?: boolean): void;
}

const newHarness = (
  coldStart: ColdStart | undefined,
  getReturnedMs?: (nowMs: number) => number,
): Harness => {
  const clock = new ManualClock();
  const news: ColdReport[] = [];
  const cold = new ColdUpstreams({
    ...{ clock, logger: newSilentLogger() },
    onNews: (reports) => news.push(...reports),
    ...(getReturnedMs && { getReturnedMs: () => getReturnedMs(clock.now()) }),
  });
  return {
    ...{ clock, cold, news },
    list: (coldMs, isDirect = true) => {
      cold.observe([newUpstream("u", { coldMs })], { isDirect, getColdStart: () => coldStart });
    },
  };
};

/** What happens, each 500 ms after the one before. */
type Step = (harness: Harness) => void;
const listed =
  (coldMs: number | undefined, isDirect?: boolean): Step =>
  ({ list }) => {
    list(coldMs, isDirect);
  };
const answered =
  (leftMs: number): Step =>
  ({ cold }) => {
    cold.record("u", leftMs);
  };
const told =
  (leftMs: number): Step =>
  ({ cold }) => {
    cold.recordPeer("n1", { upstream: "u", leftMs, perSecond: 4 });
  };
const pass: Step = () => undefined;

describe("ColdUpstreams", () => {
  const cases: readonly [name: string, steps: Step[], leftMs: number | undefined, news: number][] =
    [
      ["isn't cold by an entry without a time", [listed(undefined)], undefined, 0],
      ["isn't cold by an entry of no time", [listed(0)], undefined, 0],
      ["is cold by the first list, also a peer's", [listed(2_000, false)], 2_000, 0],
      ["is cold for no longer than its pool says", [listed(60_000)], 3_000, 0],
      ["gets warm by the clock", [listed(1_000), pass, pass], undefined, 0],
      [
        "isn't cold for longer by the same entry read again",
        [listed(2_000), listed(2_000)],
        1_500,
        0,
      ],
      ["is cold for longer by a newer entry", [listed(2_000), listed(3_000)], 3_000, 0],
      ["is warm by a newer entry", [listed(2_000), listed(0)], undefined, 0],
      ["becomes cold again by an entry", [listed(0), listed(3_000)], 3_000, 1],
      [
        "isn't cold again by a peer's list, which may be old",
        [listed(0), listed(3_000, false)],
        undefined,
        0,
      ],
      ["becomes cold again by an answer", [listed(0), answered(2_500)], 2_500, 1],
      ["is warm by an answer", [listed(2_000), answered(0)], undefined, 0],
      [
        "isn't cold again by the entry from before an answer",
        [listed(2_000), answered(0), listed(2_000)],
        undefined,
        0,
      ],
      [
        "becomes cold again by a peer's word, which isn't passed on",
        [listed(0), told(2_500)],
        2_500,
        0,
      ],
      ["isn't warm by a peer's word", [listed(3_000), told(100)], 2_500, 0],
      ["is cold by a peer's word before it is listed", [told(2_000)], 2_000, 0],
      ["isn't known by an answer before it is listed", [answered(2_000)], undefined, 0],
    ];
  for (const [name, steps, leftMs, news] of cases) {
    it(name, async () => {
      const harness = newHarness(COLD_START);
      for (const [index, step] of steps.entries()) {
        await harness.clock.advance(index > 0 ? 500 : 0);
        step(harness);
      }
      expect(harness.cold.get("u")?.leftMs).to.equal(leftMs);
      expect(harness.news.length).to.equal(news);
    });
  }

  // The list that says so may be read after the evacuation was taken back.
  it("takes an upstream whose domain has just returned for cold, until the list would say so", async () => {
    const { clock, cold, list, news } = newHarness(COLD_START, (nowMs) => nowMs);
    list(0);
    expect(cold.get("u")?.perSecond).to.equal(COLD_START.perSecond);
    expect(news).to.deep.equal([]);
    await clock.advance(1_000);
    list(3_000);
    expect(news.length).to.equal(1);
    await clock.advance(2_500);
    expect(cold.get("u")?.leftMs).to.equal(500);
  });

  it("takes one that returned long ago, or to a pool without a cold start, for warm", () => {
    const [late, without] = [newHarness(COLD_START, () => 2_600), newHarness(undefined, () => 0)];
    late.list(0);
    without.list(0);
    expect([...late.cold.all, ...without.cold.all]).to.deep.equal([]);
  });

  it("knows no cold upstream in a pool without a cold start", () => {
    const { cold, list } = newHarness(undefined);
    list(2_000);
    cold.record("u", 2_000);
    expect(cold.all).to.deep.equal([]);
  });

  it("forgets upstreams that are no longer listed or started again", () => {
    const { cold, list } = newHarness(COLD_START);
    list(2_000);
    cold.retain(new Set());
    expect(cold.all).to.deep.equal([]);
  });
});
