import { expect } from "chai";

import type { ModelConfig } from "./config/schema.js";
import { newRequestId, parseRequestId, rankMembers } from "./ids.js";
import { LeastTokensPlacement } from "./placement/baselines.js";
import { LengthAwarePlacement } from "./placement/LengthAwarePlacement.js";
import { FairOrder, type WaitingRequest } from "./placement/queueOrder.js";
import type { EngineView } from "./placement/types.js";
import { SeededRandom } from "./random.js";
import { getBackoffMs, RetryBudget } from "./retryBudget.js";
import {
  assignEngines,
  findUnderprovisionedModels,
  planOrders,
  type EngineStatus,
} from "./rollout.js";
import { findFingerprintsToStrike, getSuspicion } from "./suspects.js";

describe("request ids", () => {
  it("contain the process, its incarnation, the time of acceptance and a sequence number", () => {
    const parts = { process: "poblado-1", incarnation: 1_000, atMs: 5_000, seq: 7 };
    expect(parseRequestId(newRequestId(parts))).to.deep.equal(parts);
  });

  for (const text of ["", "req_", "req_a.b", "other"]) {
    it(`don't parse from "${text}"`, () => {
      expect(parseRequestId(text)).to.equal(undefined);
    });
  }
});

describe("rankMembers", () => {
  it("moves only the keys of a member that leaves", () => {
    const members = ["a", "b", "c", "d"];
    for (let i = 0; i < 50; i += 1) {
      const before = rankMembers(`k${String(i)}`, members)[0];
      const after = rankMembers(`k${String(i)}`, ["a", "b", "c"])[0];
      expect(before === "d" || before === after).to.equal(true);
    }
  });
});

describe("RetryBudget", () => {
  it("keeps retries to their share when a third of the upstreams die", () => {
    const budget = new RetryBudget();
    let retries = 0;
    const requests = 3_000;
    for (let i = 0; i < requests; i += 1) {
      budget.earn(0.1);
      retries += i % 3 === 0 && budget.trySpend() ? 1 : 0;
    }
    expect(retries).to.be.at.most(requests * 0.1 + 5);
  });

  it("backs off between zero and an exponentially growing bound", () => {
    const random = new SeededRandom(1);
    for (const retry of [1, 2, 3, 10]) {
      const ms = getBackoffMs(retry, random);
      expect(ms).to.be.within(0, Math.min(1_000, 25 * 2 ** retry));
    }
  });
});

const newEngine = (name: string, change: Partial<EngineView> = {}): EngineView => ({
  ...{ name, failureDomain: "a", requests: 0, prefillBacklogTokens: 0, outstandingTokens: 0 },
  ...{
    shortBacklogTokens: 0,
    kvReservedTokens: 0,
    kvTotalTokens: 400_000,
    maxStreams: 16,
    longPrefills: 0,
  },
  ...{ longRequests: 0, prefillTokensPerS: 20_000 },
  ...change,
});

const PLACEMENTS = [
  {
    name: "avoids engines with a long prefill for a short prompt",
    prompt: 2_000,
    engines: [
      newEngine("long", { longPrefills: 1, requests: 1 }),
      newEngine("busy", { requests: 6 }),
    ],
    chosen: "busy",
  },
  {
    // Guards against short prompts that gather behind one long prefill, as they cost nothing there.
    name: "counts the short prompts that wait beside a long prefill",
    prompt: 2_000,
    engines: [
      newEngine("crowded", {
        ...{ longPrefills: 1, requests: 5 },
        ...{ prefillBacklogTokens: 220_000, shortBacklogTokens: 20_000 },
      }),
      newEngine("backlog", { requests: 5, prefillBacklogTokens: 16_000 }),
    ],
    chosen: "backlog",
  },
  {
    name: "prefers an engine with a cached prefix at equal load",
    prompt: 8_000,
    engines: [newEngine("cold"), newEngine("warm")],
    cached: { warm: 6_000 },
    chosen: "warm",
  },
  {
    name: "prefers an idle engine to a loaded one with a cached prefix",
    prompt: 2_000,
    engines: [newEngine("free"), newEngine("warm", { prefillBacklogTokens: 60_000, requests: 5 })],
    cached: { warm: 1_800 },
    chosen: "free",
  },
  {
    name: "lets a long prompt wait while half of the engines run long prefills",
    prompt: 200_000,
    engines: [newEngine("a", { longPrefills: 1 }), newEngine("b")],
    chosen: undefined,
  },
  {
    name: "lets a long prompt that has waited long use any engine with capacity",
    prompt: 200_000,
    waitedMs: 60_000,
    engines: [newEngine("a", { longPrefills: 1 }), newEngine("b")],
    chosen: "b",
  },
  {
    name: "never reserves more KV memory than an engine has",
    prompt: 200_000,
    engines: [newEngine("a", { kvReservedTokens: 300_000 })],
    chosen: undefined,
  },
];

describe("LengthAwarePlacement", () => {
  for (const { name, prompt, engines, cached = {}, waitedMs = 0, chosen } of PLACEMENTS) {
    it(name, () => {
      const req = {
        ...{ id: "r", promptTokens: prompt, outputTokens: 100, cachedTokens: cached },
        ...{ remainingMs: 60_000, waitedMs },
      };
      const pool = { engines, longPromptTokens: 16_000 };
      expect(new LengthAwarePlacement().choose(req, pool)?.name).to.equal(chosen);
    });
  }

  it("differs from LeastTokensPlacement, which compares outstanding tokens alone", () => {
    const engines = [newEngine("a", { outstandingTokens: 5 }), newEngine("b")];
    const req = {
      ...{ id: "r", promptTokens: 1, outputTokens: 1, cachedTokens: {} },
      ...{ remainingMs: 1, waitedMs: 0 },
    };
    const pool = { engines, longPromptTokens: 16_000 };
    expect(new LeastTokensPlacement().choose(req, pool)?.name).to.equal("b");
  });
});

const newWaiting = (id: string, change: Partial<WaitingRequest> = {}): WaitingRequest => ({
  ...{ id, priority: 5, customer: "c", weight: 1, tokens: 1_000, arrivedMs: 0 },
  latestStartMs: 1_000_000,
  ...change,
});

describe("FairOrder", () => {
  const CASES = [
    {
      name: "serves the class with the lower priority number first",
      waiting: [newWaiting("late", { priority: 6 }), newWaiting("first", { priority: 1 })],
      first: "first",
    },
    {
      name: "serves a request first that is about to miss its latest start",
      waiting: [
        newWaiting("calm", { priority: 1 }),
        newWaiting("urgent", { latestStartMs: 1_000 }),
      ],
      first: "urgent",
    },
    {
      name: "doesn't let one customer's queue delay another's",
      waiting: [
        ...Array.from({ length: 5 }, (_, i) => newWaiting(`big-${String(i)}`, { customer: "big" })),
        newWaiting("small", { customer: "small" }),
      ],
      first: "big-0",
      second: "small",
    },
    {
      name: "serves a customer of double weight twice as much",
      waiting: [
        newWaiting("x1", { customer: "x" }),
        newWaiting("y1", { customer: "y", weight: 2 }),
        newWaiting("y2", { customer: "y", weight: 2 }),
      ],
      first: "y1",
    },
  ];
  for (const { name, waiting, first, second } of CASES) {
    it(name, () => {
      const order = new FairOrder();
      waiting.forEach((req) => {
        order.onArrival(req);
      });
      const sorted = [...waiting].sort((a, b) => order.compare(a, b, 0)).map(({ id }) => id);
      expect(sorted[0]).to.equal(first);
      if (second !== undefined) {
        expect(sorted[1]).to.equal(second);
      }
    });
  }
});

const newStatus = (name: string, change: Partial<EngineStatus> = {}): EngineStatus => ({
  ...{ name, model: "m", version: "1", adapters: [], isLoading: false },
  ...change,
});
const newModel = (pool: string, minEngines: number): ModelConfig => ({
  ...{ pool, version: "2", adapters: [], bytesPerToken: 4, contextTokens: 1, engineKvTokens: 1 },
  ...{ prefillTokensPerS: 1, maxStreamsPerEngine: 1, minEngines, fencing: "ignored" as const },
});

describe("rollouts", () => {
  const engines = ["a", "b", "c"].map((name) => newStatus(name));
  const wanted = assignEngines(engines, { m: newModel("p", 1) });
  const PLANS = [
    { name: "as many as the weight store serves", statuses: engines, limit: 2, min: 1, due: 2 },
    {
      name: "never below the least number of engines",
      statuses: engines,
      limit: 3,
      min: 2,
      due: 1,
    },
    {
      name: "none while others still load",
      statuses: [newStatus("a", { isLoading: true }), newStatus("b"), newStatus("c")],
      ...{ limit: 1, min: 0, due: 0 },
    },
    {
      name: "none that already serve the version",
      statuses: ["a", "b", "c"].map((name) => newStatus(name, { version: "2" })),
      ...{ limit: 3, min: 0, due: 0 },
    },
  ];
  for (const { name, statuses, limit, min, due } of PLANS) {
    it(`order ${name}`, () => {
      const options = { maxConcurrentLoads: limit, minEngines: { m: min } };
      expect(planOrders(statuses, wanted, options)).to.have.length(due);
    });
  }

  it("distribute a pool's engines over its models and keep the models that they serve", () => {
    const mixed = [newStatus("a"), newStatus("b"), newStatus("c", { model: "n" })];
    const states = assignEngines(mixed, { m: newModel("p", 1), n: newModel("p", 1) });
    expect(states.map(({ model }) => model)).to.deep.equal(["m", "m", "n"]);
  });

  it("find models that a class needs and that would have no engine", () => {
    const classes = { c: { models: ["m"] } };
    const underprovisioned = findUnderprovisionedModels({}, { m: newModel("empty", 1) }, classes, {
      p: 3,
    });
    expect(underprovisioned).to.deep.equal(["m"]);
    expect(
      findUnderprovisionedModels({}, { m: newModel("p", 1) }, classes, { p: 3 }),
    ).to.have.length(0);
  });
});

describe("suspects", () => {
  const CASES = [
    {
      name: "strike each prompt without strikes that was on a dead upstream",
      alone: false,
      before: 0,
      struck: ["x"],
    },
    { name: "strike a suspect again that ran alone", alone: true, before: 1, struck: ["x"] },
    {
      name: "don't strike a suspect again that ran with others",
      alone: false,
      before: 1,
      struck: [],
    },
  ];
  for (const { name, alone, before, struck } of CASES) {
    it(name, () => {
      const requestsAtCrash = [{ fingerprint: "x", wasAlone: alone }];
      expect(findFingerprintsToStrike(requestsAtCrash, () => before)).to.deep.equal(struck);
    });
  }

  it("block after the second death", () => {
    expect([0, 1, 2, 3].map(getSuspicion)).to.deep.equal(["none", "suspect", "blocked", "blocked"]);
  });
});
