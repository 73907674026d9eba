import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { newUpstreamLoad, type UpstreamLoad } from "../load.js";
import type { PlacementCandidate, PlacementRequest } from "../placement.js";
import { selectCandidates } from "../selectCandidates.js";
import { ENGINE, newCandidates, newPrompt, newUpstream } from "../testing/samples.js";
import { addCrossingCost } from "./crossing.js";
import { pickNear, planNear } from "./preferNear.js";

/** A crossing of some KB, in the unit of a request's worth. */
const CROSSING = 0.007;

type Loads = readonly Partial<UpstreamLoad>[];

/** Near upstreams `u0`, `u1`, …, and after them those of another failure domain. */
const newMixed = (near: Loads, far: Loads): PlacementCandidate[] => {
  const placed = newCandidates([...near, ...far]).map((candidate, index) => ({
    ...candidate,
    upstream: { ...candidate.upstream, failureDomain: index < near.length ? "a" : "b" },
  }));
  return addCrossingCost(placed, "a", CROSSING);
};

const SHORT_DECODE = { maxGapMs: 250, value: 1.5 };
const writing = (count: number): Partial<UpstreamLoad> => ({
  ...{ inFlight: count, minGapMs: 250, contextTokens: count * 6_000, kvTokens: count * 6_000 },
  decodes: Array.from({ length: count }, () => SHORT_DECODE),
});
const idle = (count: number): Partial<UpstreamLoad>[] => Array.from({ length: count }, () => ({}));
/** A prompt that an upstream prefills for this long. */
const reading = (ms: number): Partial<UpstreamLoad> => ({
  ...{ inFlight: 1, pendingReadMs: ms, pendingHelpMs: ms },
});
const LONG: Partial<PlacementRequest> = {
  ...{ promptTokens: 133_000, maxGapMs: 1_000, targetLeftMs: 3_000, value: 14 },
};

describe("planNear: crossing of failure domains against waiting", () => {
  const cases: readonly {
    name: string;
    near: Loads;
    far: Loads;
    prompt?: Partial<PlacementRequest>;
    isNear: boolean;
  }[] = [
    { name: "both idle", near: idle(1), far: idle(1), isNear: true },
    { name: "far answers are packed better", near: idle(2), far: [writing(4)], isNear: true },
    { name: "near is somewhat busier", near: [writing(6)], far: idle(1), isNear: true },
    { name: "near is full", near: [writing(ENGINE.slots)], far: idle(1), isNear: false },
    { name: "near would be late", near: [reading(400)], far: idle(1), isNear: false },
    {
      ...{ name: "near takes over half of the objective", near: [reading(160)], far: idle(1) },
      isNear: false,
    },
    { name: "both are full", near: [writing(11)], far: [writing(12)], isNear: true },
    {
      ...{ name: "a long prompt on idle upstreams", near: idle(6), far: idle(6), prompt: LONG },
      isNear: true,
    },
    {
      ...{ name: "a long prompt that near ones can't read in time", prompt: LONG },
      ...{ near: [reading(3_000)], far: idle(6), isNear: false },
    },
  ];
  for (const { name, near, far, prompt, isNear } of cases) {
    it(`sends ${isNear ? "near" : "across"}: ${name}`, () => {
      const plan = planNear(ENGINE, newPrompt(prompt), newMixed(near, far));
      expect(plan?.upstream.failureDomain).to.equal(isNear ? "a" : "b");
      const domains = plan?.helpers.map(({ failureDomain }) => failureDomain) ?? [];
      expect(isNear && domains.includes("b")).to.equal(false);
    });
  }

  // Guards against bytes that are saved by making other callers' answers late.
  it("crosses rather than making answers near late", () => {
    const prompt = newPrompt({ promptTokens: 60_000, targetLeftMs: 3_000, maxGapMs: 1_000 });
    const plan = planNear(ENGINE, prompt, newMixed([writing(5)], idle(1)));
    expect(plan?.upstream.failureDomain).to.equal("b");
  });
});

describe("pickNear: calls", () => {
  const cases: readonly { name: string; near: Partial<PlacementCandidate>[]; isNear: boolean }[] = [
    {
      name: "near has few calls",
      near: [{ load: { ...newUpstreamLoad(), inFlight: 3 } }],
      isNear: true,
    },
    {
      name: "near has half of its slots taken",
      near: [{ load: { ...newUpstreamLoad(), inFlight: 6 } }],
      isNear: false,
    },
    { name: "near fails some calls", near: [{ failureRate: 0.1 }], isNear: false },
    { name: "near is cold", near: [{ avoidance: 0.02 }], isNear: false },
    {
      name: "near is slower, yet within half of the objective",
      near: [{ pace: 1.5 }],
      isNear: true,
    },
    { name: "near would be late", near: [{ pace: 3 }], isNear: false },
    { name: "there is none near", near: [], isNear: false },
  ];
  for (const { name, near, isNear } of cases) {
    it(`sends ${isNear ? "near" : "across"}: ${name}`, () => {
      const candidates = newMixed(idle(near.length), idle(2)).map((candidate, index) => ({
        ...candidate,
        ...near[index],
      }));
      const call = { callMs: 61, targetMs: 300 };
      const picked = pickNear(candidates, new SeededRandom(3), call);
      expect(picked?.failureDomain).to.equal(isNear ? "a" : "b");
    });
  }
});

describe("selectCandidates where distance counts", () => {
  const cases: readonly [near: number, far: number, isAsked: boolean, picked: number][] = [
    [20, 40, true, 4],
    [20, 40, false, 12],
    [1, 59, true, 1],
    [59, 1, true, 7],
  ];
  for (const [near, far, isAsked, picked] of cases) {
    it(`picks ${String(picked)} of ${String(near)} near beside ${String(far)} far ones`, () => {
      const pool = Array.from({ length: near + far }, (_, index) =>
        newUpstream(`u${String(index)}`, { failureDomain: index < near ? "a" : "b" }),
      );
      const random = new SeededRandom(1);
      const options = { isSmall: true, isAsked, random, nearDomain: "a" };
      const found = selectCandidates(pool, new Map(), options);
      expect(found).to.have.length(isAsked ? 8 : 24);
      expect(found.filter(({ failureDomain }) => failureDomain === "a")).to.have.length(picked);
    });
  }
});
