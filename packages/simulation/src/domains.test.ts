import { expect } from "chai";

import type { DomainSend } from "./DomainSpread.js";
import { runExperiment, type ExperimentResult } from "./experiment.js";
import type { Pattern } from "./pattern.js";
import { PATTERNS } from "./patterns.js";

const TIMEOUT_MS = 180_000;
const WINDOW_MS = 500;
/** Share of a window's prompts that goes to one domain from which on the other one is left idle. */
const ONE_SIDED = 0.8;
const LENGTH_MS = 16_000;

const play = (weighs: boolean, fields: Partial<Pattern>): Promise<ExperimentResult> => {
  const base = PATTERNS.find(({ name }) => name === "steady");
  if (!base) {
    throw new Error("no pattern");
  }
  const spread = { domains: 2, weighs, periodMs: 8_000, swing: 0.5 };
  return runExperiment({ ...base, lengthMs: LENGTH_MS, spread, ...fields }, 1);
};

/** Times at which the prompts of one window go to one domain, and soon after to the other. */
const countSwings = (sends: readonly DomainSend[]): number => {
  const sides: string[] = [];
  for (let atMs = 0; atMs < LENGTH_MS; atMs += WINDOW_MS) {
    const inWindow = sends.filter((send) => send.atMs >= atMs && send.atMs < atMs + WINDOW_MS);
    for (const domain of ["d0", "d1"]) {
      if (inWindow.filter(({ to }) => to === domain).length > ONE_SIDED * inWindow.length) {
        sides.push(domain);
      }
    }
  }
  return sides.filter((side, at) => at > 0 && side !== sides[at - 1]).length;
};

const getFarShare = (sends: readonly DomainSend[]): number =>
  sends.filter(({ from, to }) => from !== to).length / sends.length;

describe("two failure domains with callers' waves out of phase", () => {
  // The waves turn four times in this time; prompts that follow them turn as often.
  for (const lagMs of [200, 500, 1_000]) {
    // Guards against domains that are filled by turns, as all processes see the same one empty for too long.
    it(`don't swing with views ${String(lagMs)} ms old`, async function () {
      this.timeout(TIMEOUT_MS);
      const { sends, day } = await play(true, { loadBatchMs: lagMs / 2 - 1 });
      expect(countSwings(sends)).to.be.at.most(4);
      expect(day.share).to.be.above(0.85);
    });
  }

  // Guards against prompts that cross, dearly, without a need, and against late ones that would have crossed.
  it("send most prompts near with fresh views, and lose no credit by it", async function () {
    this.timeout(TIMEOUT_MS);
    const [off, on] = await Promise.all([play(false, {}), play(true, {})]);
    expect(getFarShare(on.sends)).to.be.below(0.6 * getFarShare(off.sends));
    expect(on.day.share).to.be.above(off.day.share - 0.02);
    expect(countSwings(on.sends)).to.be.at.most(4);
  });
});
