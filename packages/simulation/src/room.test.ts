import { expect } from "chai";

import { runExperiment } from "./experiment.js";
import type { Pattern, Surge } from "./pattern.js";

const TIMEOUT_MS = 180_000;

/** A third of a large site whose longest prompts need the memory of several upstreams. */
const FLEET: Omit<Pattern, "name" | "surges"> = {
  ...{ lengthMs: 30_000, processes: 8, upstreams: 15, chunkTokens: 2_048, queueSlots: 16 },
  engine: {
    ...{ slots: 8, kvTokens: 344_250, stepsPerPass: 38, stepMs: 1.31 },
    ...{ stepMsPerSequence: 0.005, stepMsPerThousandContext: 0.003 },
    ...{ readTokensPerMs: 154, msPerMillionPairs: 0.162, hopMs: 0.1 },
  },
  classes: [
    {
      ...{ name: "short", perSecond: 50 / 3, targetMs: 300, maxGapMs: 250, deadlineMs: 10_000 },
      promptTokens: { mean: 5_000, spread: 0.9, max: 24_000 },
      outputTokens: { mean: 1_300, spread: 0.7, max: 4_000 },
      ...{ worth: 1.3, lateWorth: 0.33 },
    },
    {
      ...{ name: "medium", perSecond: 3.5 / 3, targetMs: 1_500, maxGapMs: 500, deadlineMs: 10_000 },
      promptTokens: { mean: 45_000, spread: 0.5, max: 110_000 },
      outputTokens: { mean: 970, spread: 0.6, max: 2_400 },
      ...{ worth: 5, lateWorth: 1.2 },
    },
    {
      ...{ name: "long", perSecond: 1.1 / 3, targetMs: 4_000, maxGapMs: 900, deadlineMs: 15_000 },
      promptTokens: { mean: 260_000, spread: 0.55, max: 900_000 },
      outputTokens: { mean: 800, spread: 0.5, max: 2_000 },
      ...{ worth: 34, lateWorth: 8.5 },
    },
  ],
  incidents: [],
};

const newWave = (atMs: number, factor: number): Surge => ({
  ...{ atMs, forMs: 4_000 },
  factors: { short: factor, medium: factor, long: factor },
});
const WAVES = [0.5, 1.5, 0.5, 1.5, 0.5, 1.5, 0.5].map((factor, index) =>
  newWave(index * 4_000, factor),
);
const LONG_AFTER_SHORT: Surge[] = [
  { atMs: 2_000, forMs: 8_000, factors: { short: 1.8, medium: 0.5, long: 0.1 } },
  { atMs: 10_000, forMs: 14_000, factors: { short: 0.5, medium: 1, long: 2.8 } },
];

// Guards against prompts above one upstream's memory that wait to their deadline in a fleet with room.
describe("room for long prompts", () => {
  const cases: readonly [
    name: string,
    surges: Surge[],
    seed: number,
    kvTokens: number,
    credit: { day: number; long: number },
  ][] = [
    ["waves that swing by half", WAVES, 1, 344_250, { day: 0.93, long: 0.9 }],
    ["waves that swing by half", WAVES, 2, 344_250, { day: 0.9, long: 0.75 }],
    ["a long surge after a short one", LONG_AFTER_SHORT, 1, 344_250, { day: 0.8, long: 0.85 }],
    ["a long surge, a sixth of the memory", LONG_AFTER_SHORT, 6, 60_000, { day: 0.7, long: 0.75 }],
  ];
  for (const [name, surges, seed, kvTokens, credit] of cases) {
    it(`is found: ${name}, ${String(kvTokens)} tokens, seed ${String(seed)}`, async function () {
      this.timeout(TIMEOUT_MS);
      const engine = { ...FLEET.engine, kvTokens };
      const { day, classes } = await runExperiment({ ...FLEET, engine, name, surges }, seed);
      expect(day.share).to.be.above(credit.day);
      expect(classes.find((group) => group.name === "long")?.share).to.be.above(credit.long);
    });
  }
});
