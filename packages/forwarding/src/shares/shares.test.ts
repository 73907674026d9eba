import { expect } from "chai";

import type { ForwardCustomer } from "../fleetConfig.js";
import { FleetView } from "../FleetView.js";
import { LoadTracker } from "../LoadTracker.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newConfig, newItem } from "../testing/samples.js";
import { CustomerShares, type ShareState } from "./CustomerShares.js";
import { getCustomerKey } from "./customerKey.js";
import { getFairLevel } from "./fairShares.js";

/** Use of customers, their weights, the capacity, and what each of them may use. */
const LEVEL_CASES = [
  { name: "all fit", used: [0.2, 0.3], weights: [1, 1], capacity: 0.7, level: Infinity },
  {
    name: "one leaves room to the other",
    used: [0.1, 0.9],
    weights: [1, 1],
    capacity: 0.7,
    level: 0.6,
  },
  { name: "both want more", used: [0.5, 0.5], weights: [1, 1], capacity: 0.7, level: 0.35 },
  { name: "twice the weight", used: [0.5, 0.5], weights: [2, 1], capacity: 0.6, level: 0.2 },
  { name: "no capacity", used: [0.5, 0.5], weights: [1, 1], capacity: -0.1, level: 0 },
  { name: "nobody", used: [], weights: [], capacity: 0.7, level: Infinity },
];

describe("fair level of use", () => {
  for (const { name, used, weights, capacity, level } of LEVEL_CASES) {
    it(`is ${String(level)}: ${name}`, () => {
      const uses = used.map((each, index) => ({ used: each, weight: weights[index] ?? 1 }));
      const found = getFairLevel(uses, capacity);
      expect(found === level || Math.abs(found - level) < 1e-9).to.equal(true);
    });
  }
});

/** A process that knows of requests in flight by customer: how many, and the prefill of each. */
const newShares = (
  requests: Readonly<Record<string, readonly [count: number, readMs: number]>>,
  customers: ForwardCustomer[] = [],
): { clock: ManualClock; loads: LoadTracker; shares: CustomerShares } => {
  const clock = new ManualClock();
  const view = new FleetView();
  view.applyConfig(newConfig({ customers }));
  const loads = new LoadTracker({ clock, onOwnChange: () => undefined });
  for (const [customer, [count, readMs]] of Object.entries(requests)) {
    for (let index = 0; index < count; index++) {
      const key = customer === "unknown" ? {} : { customer: getCustomerKey(customer) };
      loads.setOwn(newItem(`${customer}${String(index)}`, { readMs, kvTokens: readMs, ...key }));
    }
  }
  return { clock, loads, shares: new CustomerShares({ clock, view, loadTracker: loads }) };
};

const QUIET = Object.fromEntries(
  Array.from({ length: 9 }, (_, index) => [`q${String(index)}`, [2, 10] as const]),
);
const SURGE = { ...QUIET, big: [100, 20] as const };
const URGENT: ForwardCustomer = { name: "big", apiKeys: [], priority: 1 };
const LESS: ForwardCustomer = { name: "q0", apiKeys: [], priority: 3 };

type Expected = Partial<Record<"isAbove" | "isWeighedLess" | "isRelieved", boolean>> | undefined;
const ABOVE: Expected = { isAbove: true, isWeighedLess: true };
const BELOW: Expected = { isAbove: false, isWeighedLess: false };

/** Requests in flight, how much of the pool is in use, who asks, and what is made of it. */
const CASES: readonly [
  name: string,
  requests: Parameters<typeof newShares>[0],
  pressure: readonly [busyShare: number, memoryShare: number],
  customer: string | undefined,
  expected: Expected,
][] = [
  ["a surge while the pool isn't contended", SURGE, [0.49, 0], "big", undefined],
  ["a surge in a full pool", SURGE, [1, 0], "big", ABOVE],
  ["a surge in full memory", SURGE, [0.2, 0.95], "big", ABOVE],
  ["a surge in a pool with idle shares", SURGE, [0.58, 0], "big", { isAbove: false }],
  ["a quiet one beside a surge", SURGE, [1, 0], "q3", { ...BELOW, isRelieved: true }],
  ["a newcomer beside a surge", SURGE, [1, 0], "new", { ...BELOW, isRelieved: true }],
  ["one alone in a full pool", { big: [100, 20] }, [1, 0], "big", BELOW],
  [
    "one of two alike in a full pool",
    { a: [40, 20], b: [44, 20] },
    [1, 0],
    "b",
    { isAbove: false },
  ],
  ["a caller without a customer", SURGE, [1, 0], undefined, undefined],
  ["requests of an earlier build only", { unknown: [100, 20] }, [1, 0], "q0", BELOW],
  ["too few requests to judge by", { a: [1, 20], big: [3, 900] }, [1, 0], "big", undefined],
];

const check = (state: ShareState | undefined, expected: Expected): void => {
  expect(state === undefined).to.equal(expected === undefined);
  if (state && expected) {
    const facts = {
      ...{ isAbove: state.isAbove, isWeighedLess: state.weight < 1 },
      isRelieved: state.relief < 0.7,
    };
    expect(facts).to.include(expected);
  }
};

describe("shares of customers", () => {
  for (const [name, requests, [busyShare, memoryShare], customer, expected] of CASES) {
    it(`judges ${name}`, () => {
      const { shares } = newShares(requests);
      const who = { pool: "p", customer, isReturn: false };
      check(shares.assess(who, { busyShare, memoryShare }), expected);
    });
  }

  it("lets a customer of a more urgent priority use more", () => {
    const requests = { big: [60, 20], q0: [60, 20] } as const;
    const { shares } = newShares(requests, [URGENT, LESS]);
    const [big, q0] = ["big", "q0"].map((customer) =>
      shares.assess({ pool: "p", customer, isReturn: false }, { busyShare: 1, memoryShare: 0 }),
    );
    expect([big?.isAbove, q0?.isAbove]).to.deep.equal([false, true]);
  });

  it("forgets a surge some seconds after it ended", async () => {
    const { clock, loads, shares } = newShares(SURGE);
    const assess = (): ShareState | undefined =>
      shares.assess(
        { pool: "p", customer: "big", isReturn: false },
        { busyShare: 1, memoryShare: 0 },
      );
    expect(assess()?.isAbove).to.equal(true);
    for (let index = 0; index < 100; index++) {
      loads.removeOwn(`big${String(index)}`);
    }
    for (let second = 0; second < 60; second++) {
      await clock.advance(1_000);
      assess();
    }
    expect(assess()?.isAbove ?? false).to.equal(false);
  });

  it("remembers a bounded number of 5,000 customers, and those who use most", () => {
    const requests: Record<string, readonly [number, number]> = { big: [10, 500] };
    for (let index = 0; index < 5_000; index++) {
      requests[`c${String(index)}`] = [1, 1];
    }
    const { shares } = newShares(requests, [URGENT]);
    shares.assess(
      { pool: "p", customer: "big", isReturn: false },
      { busyShare: 1, memoryShare: 0 },
    );
    expect(shares.usedShares.length).to.be.at.most(257);
    const big = shares.usedShares.find(({ customer }) => customer === "big");
    // More than its part of the requests, as each of its own is more work.
    expect(big?.share).to.be.above(10 / 5_010);
  });
});
