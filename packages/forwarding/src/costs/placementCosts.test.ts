import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import {
  estimateRemaining,
  getEndMs,
  newUpstreamLoad,
  sumLoads,
  type TimedLoadItem,
} from "../load.js";
import { pickServiceUpstream } from "../pickServiceUpstream.js";
import { planPlacement, type PlacementCandidate } from "../placement.js";
import { ENGINE, newCandidates, newItem, newPrompt } from "../testing/samples.js";

const newTimed = (id: string, fields: Partial<TimedLoadItem>): TimedLoadItem => ({
  ...newItem(id),
  ...{ sinceMs: 0, ...fields },
});

/** Candidates with calls in flight that take these times, each since 0. */
const newCallCandidates = (works: readonly (readonly number[])[]): PlacementCandidate[] => {
  const items = works.flatMap((times, at) =>
    times.map((writeMs, call) =>
      newTimed(`${String(at)}-${String(call)}`, { upstream: `u${String(at)}`, writeMs }),
    ),
  );
  const loads = sumLoads(items, 0);
  return newCandidates(works.map((_, at) => loads.get(`u${String(at)}`) ?? newUpstreamLoad()));
};

const pick = (candidates: readonly PlacementCandidate[], callMs?: number): string | undefined =>
  pickServiceUpstream(candidates, new SeededRandom(1), { callMs, targetMs: 300 })?.id;

describe("the upstream of a call", () => {
  const full = (writeMs: number): number[] => Array<number>(ENGINE.slots).fill(writeMs);
  const cases: readonly [name: string, works: readonly (readonly number[])[], upstream: string][] =
    [
      [
        "the one with cheap calls among as many",
        [
          [600, 600, 600],
          [60, 60, 60],
        ],
        "u1",
      ],
      ["the one with fewer calls while slots are free", [[600], [60, 60, 60, 60, 60]], "u0"],
      ["the full one with the least work", [full(600), [...full(60), 60, 60, 60]], "u1"],
      ["one with a free slot before a full one", [full(5), full(600).slice(1)], "u1"],
    ];
  for (const [name, works, upstream] of cases) {
    it(`is ${name}`, () => {
      expect(pick(newCallCandidates(works), 60)).to.equal(upstream);
    });
  }

  it("isn't one at half speed while others have as little to do", () => {
    const [slow, usual] = newCallCandidates([[60], [60, 60]]);
    const paced = [slow, usual].flatMap((known, at) =>
      known ? [{ ...known, pace: at === 0 ? 2 : 1 }] : [],
    );
    expect(pick(paced, 60)).to.equal("u1");
  });
});

describe("the upstream of a prompt", () => {
  it("isn't one at half speed while others are free", () => {
    const candidates = newCandidates([{}, {}]).map((known, at) => ({
      ...known,
      pace: at === 0 ? 2 : 1,
    }));
    expect(planPlacement(ENGINE, newPrompt(), candidates)?.upstream.id).to.equal("u1");
  });

  it("is the full one whose requests end soon", () => {
    const full = { inFlight: ENGINE.slots, decoding: ENGINE.slots };
    const candidates = newCandidates([
      { ...full, endsMs: Array<number>(ENGINE.slots).fill(900) },
      { ...full, endsMs: [20, ...Array<number>(ENGINE.slots - 1).fill(900)] },
    ]);
    const plan = planPlacement(ENGINE, newPrompt({ isLearned: true }), candidates);
    expect(plan?.upstream.id).to.equal("u1");
  });
});

describe("work that a request has left", () => {
  const cases: readonly [
    name: string,
    fields: Partial<TimedLoadItem>,
    nowMs: number,
    left: ReturnType<typeof estimateRemaining>,
  ][] = [
    ["an answer half way", { writeMs: 800 }, 400, { readMs: 0, writeMs: 400, isOverdue: false }],
    ["an overdue answer", { writeMs: 800 }, 1_000, { readMs: 0, writeMs: 300, isOverdue: true }],
    ["an answer of unknown length", {}, 400, { readMs: 0, writeMs: undefined, isOverdue: false }],
    [
      "a prompt in prefill",
      { phase: "reading", readMs: 50, writeMs: 800 },
      20,
      { readMs: 30, writeMs: 800, isOverdue: false },
    ],
  ];
  for (const [name, fields, nowMs, left] of cases) {
    it(name, () => {
      expect(estimateRemaining(newTimed("a", fields), nowMs)).to.deep.equal(left);
    });
  }

  it("tells when a slot becomes free only where the cost of all requests is known", () => {
    const items = [newTimed("a", { writeMs: 800 }), newTimed("b", { writeMs: 300 })];
    const known = sumLoads(items, 100).get("u0") ?? newUpstreamLoad();
    expect([getEndMs(known, 1), getEndMs(known, 2)]).to.deep.equal([200, 700]);
    const partly = sumLoads([...items, newTimed("c", {})], 100).get("u0") ?? newUpstreamLoad();
    expect(getEndMs(partly, 1)).to.equal(undefined);
  });
});
