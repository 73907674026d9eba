import { expect } from "chai";

import { playCalls, type CallPattern } from "./callExperiment.js";
import { CostPolicy } from "./costPolicies.js";

const TIMEOUT_MS = 60_000;
const SEEDS = [1, 2, 3] as const;
const ALIKE: CallPattern = {
  ...{ name: "alike", lengthMs: 60_000, processes: 6, slots: 6, paces: [1, 1, 1, 1, 1] },
  ...{ fullFactor: 1, targetMs: 300 },
  classes: [
    { customer: "light", perSecond: 150, workMs: 20 },
    { customer: "heavy", perSecond: 75, workMs: 200 },
  ],
};
const EVEN = [{ customer: "c", perSecond: 200, workMs: 60 }];

const getInTime = async (pattern: CallPattern, policy: CostPolicy): Promise<number> => {
  let sum = 0;
  for (const seed of SEEDS) {
    sum += (await playCalls(pattern, seed, policy)).inTime;
  }
  return sum / SEEDS.length;
};

describe("calls of a plain service", () => {
  const cases: readonly [name: string, pattern: CallPattern, gain: number][] = [
    ["of which alike ones cost tenfold", ALIKE, -0.003],
    [
      "with an upstream at half speed",
      { ...ALIKE, name: "half-speed", paces: [1, 1, 2, 1, 1], classes: EVEN },
      0.004,
    ],
    [
      "with upstreams that slow down when nearly full",
      { ...ALIKE, name: "slow-when-full", fullFactor: 2, classes: EVEN },
      -0.003,
    ],
    [
      "whose cost changes in the middle of the day",
      {
        ...ALIKE,
        name: "changing",
        classes: [
          { customer: "light", perSecond: 75, workMs: 20, laterWorkMs: 200 },
          { customer: "heavy", perSecond: 75, workMs: 200, laterWorkMs: 20 },
        ],
      },
      -0.003,
    ],
  ];
  for (const [name, pattern, gain] of cases) {
    const wanted = gain > 0 ? "more often than" : "as often as";
    it(`come in time ${wanted} by the number of requests: ${name}`, async function () {
      this.timeout(TIMEOUT_MS);
      const counted = await getInTime(pattern, CostPolicy.Off);
      const learned = await getInTime(pattern, CostPolicy.Quantiles);
      expect(learned).to.be.at.least(counted + gain);
    });
  }
});
