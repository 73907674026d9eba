import { expect } from "chai";

import { runExperiment } from "./experiment.js";
import { PATTERNS } from "./patterns.js";

/** Simulations are slow on a busy machine; the results don't depend on real time. */
const TIMEOUT_MS = 180_000;

describe("placement and admission under load", () => {
  const cases: readonly [pattern: string, seed: number, credit: number, worstWindows: number][] = [
    // Giant prompts and replaced upstreams leave a backlog when short prompts surge.
    ["surges-while-replaced", 2, 0.75, 0.5],
    // Entry processes return to upstreams that are full of answers in progress.
    ["restart-while-busy", 1, 0.82, 0.42],
    // Prefills that two lost upstreams had a part in start again.
    ["crash-in-long-surge", 2, 0.8, 0.46],
    // Many processes that hear late of each other send to the same upstreams, beyond their slots.
    ["large-fleet-surge-of-short", 1, 0.88, 0.88],
    ["large-fleet-surge-of-long", 2, 0.9, 0.85],
    // The same with processes that ask a relay of their failure domain for loads.
    ["asking-fleet-surge-of-short", 1, 0.88, 0.88],
    ["asking-fleet-surge-of-long", 2, 0.9, 0.85],
    // Other engines, fewer of them, and other objectives.
    ["small-fleet-by-turns", 2, 0.85, 0.6],
  ];
  for (const [name, seed, credit, worstWindows] of cases) {
    it(`keeps most prompts in time: ${name}`, async function () {
      this.timeout(TIMEOUT_MS);
      const pattern = PATTERNS.find((known) => known.name === name);
      if (!pattern) {
        throw new Error(`no pattern ${name}`);
      }
      const result = await runExperiment(pattern, seed);
      expect(result.day.share).to.be.above(credit);
      expect(result.worstWindows).to.be.above(worstWindows);
    });
  }
});
