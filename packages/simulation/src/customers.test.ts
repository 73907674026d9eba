import { expect } from "chai";

import { runExperiment, type Credit, type ExperimentResult } from "./experiment.js";
import type { Pattern } from "./pattern.js";
import { PATTERNS } from "./patterns.js";

const TIMEOUT_MS = 120_000;
const SEEDS = [1, 2, 3, 4];
/** Part of their credit without a surge that the other customers keep. */
const KEPT_SHARE = 0.95;

const STEADY = PATTERNS.find(({ name }) => name === "steady");

/** Six engines that ten customers use; the first asks for more for 9 s. */
const newPattern = (factor: number, options: Partial<Pattern>, load = 1): Pattern => {
  if (!STEADY) {
    throw new Error("no steady pattern");
  }
  const upstreams = 6;
  return {
    ...{ ...STEADY, lengthMs: 12_000, processes: 4, upstreams },
    classes: STEADY.classes.map((prompt) => ({
      ...prompt,
      perSecond: (load * prompt.perSecond * upstreams) / STEADY.upstreams,
    })),
    customers: Array.from({ length: 10 }, (_, index) => ({
      ...{ name: `c${String(index)}`, part: 0.1 },
      surges: index === 0 ? [{ atMs: 2_000, forMs: 9_000, factor }] : [],
    })),
    ...options,
  };
};

/** Mean credit of all customers but the first, by their requests. */
const getOthers = (customers: readonly Credit[]): number => {
  const others = customers.slice(1);
  const requests = others.reduce((sum, credit) => sum + credit.requests, 0);
  return others.reduce((sum, credit) => sum + credit.share * credit.requests, 0) / requests;
};

const playAll = async (pattern: Pattern): Promise<{ others: number; first: number }> => {
  const results: ExperimentResult[] = [];
  for (const seed of SEEDS) {
    results.push(await runExperiment(pattern, seed));
  }
  const mean = (get: (customers: readonly Credit[]) => number): number =>
    results.reduce((sum, { customers }) => sum + get(customers), 0) / results.length;
  return { others: mean(getOthers), first: mean(([first]) => first?.share ?? 0) };
};

describe("customers that share a fleet", () => {
  const cases: readonly [name: string, factor: number, load: number, options: Partial<Pattern>][] =
    [
      ["a surge of 15x on a half-used fleet", 15, 1, {}],
      ["a surge of 5x on a busy fleet", 5, 1.5, {}],
      ["a surge of 15x, views 200 ms old", 15, 1, { loadBatchMs: 200 }],
      [
        "a surge of 15x, all processes restarted meanwhile",
        ...([15, 1] as const),
        { incidents: [{ kind: "restart", atMs: 6_000, downMs: 300 }] },
      ],
    ];
  for (const [name, factor, load, options] of cases) {
    it(`keeps what nine quiet ones earn beside ${name}`, async function () {
      this.timeout(TIMEOUT_MS);
      const quiet = await playAll(newPattern(1, options, load));
      const surge = await playAll(newPattern(factor, { ...options, sharesRoom: true }, load));
      expect(surge.others).to.be.at.least(KEPT_SHARE * quiet.others);
    });
  }
});
