import { expect } from "chai";

import { getPassMs, getReadMs } from "./engineModel.js";
import type { UpstreamLoad } from "./load.js";
import { planPlacement, type PlacementPlan } from "./placement.js";
import { ENGINE, newCandidates, newPrompt } from "./testing/samples.js";

const idle = (count: number): Partial<UpstreamLoad>[] => Array.from({ length: count }, () => ({}));
const shortDecode = { maxGapMs: 250, value: 1.5 };
/** Load of an upstream that decodes `count` answers to short prompts. */
const writing = (count: number): Partial<UpstreamLoad> => ({
  inFlight: count,
  decodes: Array.from({ length: count }, () => shortDecode),
  minGapMs: 250,
  contextTokens: count * 6_000,
  kvTokens: count * 6_000,
});
const LONG = { promptTokens: 133_000, maxGapMs: 1_000, targetLeftMs: 3_000, value: 14 };

const plan = (
  prompt: Parameters<typeof newPrompt>[0],
  loads: readonly Partial<UpstreamLoad>[],
): PlacementPlan => {
  const found = planPlacement(ENGINE, newPrompt(prompt), newCandidates(loads));
  if (!found) {
    throw new Error("no plan");
  }
  return found;
};
const getMembers = ({ upstream, helpers }: PlacementPlan): string[] =>
  [upstream, ...helpers].map(({ id }) => id);

describe("engine model", () => {
  const cases: readonly [tokens: number, members: number, ms: number][] = [
    [5_000, 1, 26],
    [133_000, 1, 1_866],
    [133_000, 14, 133],
    [300_000, 1, 7_666],
  ];
  for (const [tokens, members, ms] of cases) {
    it(`reads ${String(tokens)} tokens on ${String(members)} in about ${String(ms)} ms`, () => {
      expect(getReadMs(ENGINE, tokens, members)).to.be.closeTo(ms, 1);
    });
  }

  it("takes a decode pass for as long as its steps", () => {
    expect(getPassMs(ENGINE, 0, 0)).to.be.closeTo(43.9, 0.1);
    expect(getPassMs(ENGINE, 10, 60_000)).to.be.closeTo(56.4, 0.1);
  });
});

describe("planPlacement", () => {
  it("reads a long prompt together when upstreams are idle", () => {
    const { helpers, firstEventMs } = plan(LONG, idle(14));
    expect(helpers.length).to.be.above(7);
    expect(firstEventMs).to.be.below(350);
  });

  it("keeps the prefill of a long prompt off upstreams with short gap objectives while others are free", () => {
    const found = plan(LONG, [...idle(9), ...Array.from({ length: 5 }, () => writing(5))]);
    expect(getMembers(found).every((id) => Number(id.slice(1)) < 9)).to.equal(true);
  });

  it("places short prompts together, so that other upstreams stay free for long prefills", () => {
    expect(plan({}, [{}, {}, writing(4), {}]).upstream.id).to.equal("u2");
  });

  it("fills the upstream that decodes the most short answers, so that others become free for prefill", () => {
    expect(plan({}, [writing(1), writing(6), writing(2), writing(1)]).upstream.id).to.equal("u1");
  });

  it("uses another upstream for a short prompt once prefill would make it late", () => {
    const busy = { ...writing(4), pendingReadMs: 260 };
    expect(plan({}, [{}, busy]).upstream.id).to.equal("u0");
  });

  it("sends a short prompt to an upstream with a free slot", () => {
    expect(plan({}, [writing(11), writing(3)]).upstream.id).to.equal("u1");
  });

  it("adds prefill where a gap objective is already missed rather than where it would be", () => {
    const ruined = { ...writing(3), pendingReadMs: 900 };
    const found = plan({ ...LONG, promptTokens: 60_000, targetLeftMs: 9_000 }, [
      writing(3),
      ruined,
    ]);
    expect(getMembers(found)).to.deep.equal(["u1"]);
  });

  it("spares the upstreams of answers in time, not those of late ones", () => {
    const lateOnly = { ...writing(3), decodes: [], decoding: 3, minGapMs: Infinity };
    const found = plan({ ...LONG, promptTokens: 60_000 }, [writing(3), lateOnly]);
    expect(getMembers(found)).to.deep.equal(["u1"]);
  });

  it("doesn't take all upstreams for a prompt that is late already", () => {
    const late = { ...LONG, promptTokens: 270_000, targetLeftMs: -4_000, deadlineLeftMs: 6_000 };
    const loads = Array.from({ length: 14 }, () => writing(6));
    const { helpers } = plan({ ...late, value: 28 }, loads);
    expect(helpers.length).to.be.at.most(2);
  });

  it("expects a queue at an upstream without a free slot, but not behind deferred requests", () => {
    const full = plan({ targetLeftMs: 2_000 }, [writing(11)]).firstEventMs;
    const deferred = plan({ targetLeftMs: 2_000 }, [
      { ...writing(10), inFlight: 11, deferred: 1 },
    ]).firstEventMs;
    expect(full - deferred).to.be.above(200);
  });

  it("doesn't delay the prefill of a prompt that would then be late", () => {
    const prefill = { targetLeftMs: 420, deadlineLeftMs: 9_000, value: 18, isDecoder: true };
    const reading = { pendingReadMs: 200, prefills: [prefill], inFlight: 1, minGapMs: 1_000 };
    const found = plan({ ...LONG, promptTokens: 60_000 }, [reading, {}, {}, {}]);
    expect(getMembers(found)).to.not.include("u0");
  });

  it("doesn't put a helper's part before a decoder's part while others are free", () => {
    const prefill = { targetLeftMs: 2_500, deadlineLeftMs: 9_000, value: 18, isDecoder: true };
    const reading = { pendingReadMs: 100, prefills: [prefill], inFlight: 1, minGapMs: 1_000 };
    const found = plan(LONG, [reading, ...idle(9)]);
    expect(getMembers(found)).to.not.include("u0");
  });

  it("splits a prompt larger than one engine into reservations that fit", () => {
    const found = plan({ ...LONG, promptTokens: 560_000, value: 57 }, idle(14));
    const held = found.heldTokens.reduce((sum, tokens) => sum + tokens, 0);
    expect(560_000 + 1_300 - held).to.be.at.most(ENGINE.kvTokens);
    expect(Math.max(...found.heldTokens)).to.be.at.most(ENGINE.kvTokens);
  });

  it("returns no plan while the upstreams lack the memory", () => {
    const full = { kvTokens: 225_000 };
    const none = planPlacement(ENGINE, newPrompt(LONG), newCandidates([full, full]));
    expect(none).to.equal(undefined);
  });

  it("leaves the last slots free where requests of peers are expected", () => {
    const almostFull = { ...writing(10), decoding: 10 };
    expect(plan({}, [almostFull, writing(6)]).upstream.id).to.equal("u0");
    expect(plan({}, [{ ...almostFull, unseen: 0.6 }, writing(6)]).upstream.id).to.equal("u1");
  });

  it("avoids an upstream that fails often", () => {
    const candidates = newCandidates([{}, {}]).map((candidate, index) => ({
      ...candidate,
      failureRate: index === 0 ? 0.5 : 0,
    }));
    expect(planPlacement(ENGINE, newPrompt(), candidates)?.upstream.id).to.equal("u1");
  });
});
