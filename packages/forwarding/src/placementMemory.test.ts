import { expect } from "chai";
import fc from "fast-check";

import type { EngineSpec } from "./fleetConfig.js";
import {
  MAX_HELPERS,
  planPlacement,
  type PlacementCandidate,
  type PlacementRequest,
} from "./placement.js";
import { mayHold } from "./room/findRoom.js";
import { ENGINE, newCandidates, newPrompt } from "./testing/samples.js";

const OUTPUT_TOKENS = 1_300;
/** Shares of the KV memory that placement uses, as its documentation states them. */
const USABLE_SHARE = 0.95;
const HELPER_SHARE = 0.8;

const newLong = (promptTokens: number): PlacementRequest =>
  newPrompt({ promptTokens, outputTokens: OUTPUT_TOKENS, maxGapMs: 1_000 });

const plan = (
  engine: EngineSpec,
  promptTokens: number,
  candidates: readonly PlacementCandidate[],
): ReturnType<typeof planPlacement> => planPlacement(engine, newLong(promptTokens), candidates);

/** Most tokens that upstreams with these loads hold for one prompt. */
const getMostTokens = (engine: EngineSpec, usedTokens: readonly number[]): number => {
  const free = usedTokens
    .map((used) => engine.kvTokens * USABLE_SHARE - used)
    .sort((a, b) => b - a);
  const [decoder = 0, ...helpers] = free;
  const held = helpers.slice(0, MAX_HELPERS).map((tokens) => Math.floor(tokens * HELPER_SHARE));
  return Math.floor(decoder) + held.reduce((sum, tokens) => sum + Math.max(0, tokens), 0);
};

describe("planPlacement: KV memory of several upstreams", () => {
  const cases: readonly [kvTokens: number, promptTokens: number, upstreams: number][] = [
    [344_250, 197_200, 24],
    [344_250, 330_000, 24],
    [344_250, 560_000, 24],
    [344_250, 900_000, 24],
    [344_250, 4_000_000, 24],
    [100_001, 94_000, 2],
    [100_001, 150_000, 2],
    [100_001, 300_000, 6],
    [232_000, 560_000, 14],
  ];
  for (const [kvTokens, promptTokens, upstreams] of cases) {
    it(`holds ${String(promptTokens)} tokens on ${String(upstreams)} idle upstreams of ${String(kvTokens)}`, () => {
      const engine = { ...ENGINE, kvTokens };
      const idle = newCandidates(Array.from({ length: upstreams }, () => ({})));
      const found = plan(engine, promptTokens, idle);
      const held = (found?.heldTokens ?? []).reduce((sum, tokens) => sum + tokens, 0);
      expect(promptTokens + OUTPUT_TOKENS - held).to.be.at.most(kvTokens * USABLE_SHARE);
      expect(found?.heldTokens.every(Number.isInteger)).to.equal(true);
    });
  }

  it("finds the free memory when the upstreams with the least work have none", () => {
    const full = { kvTokens: ENGINE.kvTokens };
    const busy = { pendingReadMs: 500, pendingHelpMs: 500 };
    const loads = [
      ...Array.from({ length: 18 }, () => full),
      ...Array.from({ length: 4 }, () => busy),
    ];
    const found = plan(ENGINE, 400_000, newCandidates(loads));
    expect(found && Number(found.upstream.id.slice(1))).to.be.at.least(18);
  });

  it("has a plan whenever the memory that it may use is enough, and none otherwise", () => {
    const upstream = fc.record({
      usedShare: fc.double({ min: 0, max: 1, noNaN: true }),
      inFlight: fc.integer({ min: 0, max: 12 }),
      pendingReadMs: fc.integer({ min: 0, max: 3_000 }),
    });
    const prompt = fc.record({
      kvTokens: fc.integer({ min: 50_000, max: 500_000 }),
      share: fc.double({ min: 0.5, max: 1.2, noNaN: true }),
    });
    fc.assert(
      fc.property(fc.array(upstream, { minLength: 1, maxLength: 24 }), prompt, (list, sizes) => {
        const engine = { ...ENGINE, kvTokens: sizes.kvTokens };
        const used = list.map(({ usedShare }) => usedShare * sizes.kvTokens);
        const most = getMostTokens(engine, used);
        const promptTokens = Math.floor(most * sizes.share) - OUTPUT_TOKENS;
        // A smaller prompt may have fewer members than there are upstreams.
        fc.pre(promptTokens >= 8_000 * Math.min(list.length, MAX_HELPERS + 1));
        const loads = list.map((load, index) => ({ ...load, kvTokens: used[index] ?? 0 }));
        const candidates = newCandidates(loads);
        const isPlanned = plan(engine, promptTokens, candidates) !== undefined;
        expect(isPlanned).to.equal(promptTokens + OUTPUT_TOKENS <= most);
        // Prompts that wait are planned only where this is true.
        expect(isPlanned && !mayHold(engine, newLong(promptTokens), candidates)).to.equal(false);
      }),
      { numRuns: 500 },
    );
  });
});
