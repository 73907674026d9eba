import { SeededRandom } from "@lycheepulley/core";
import type { PeerIdentity } from "@lycheepulley/forwarding";
import { expect } from "chai";

import { CallerAddresses, type AskingCaller, type NamedProcess } from "./CallerAddresses.js";

const REGIONS = new Map([
  ...([
    ["a", "north"],
    ["b", "north"],
    ["c", "south"],
  ] as const),
]);

const newFleet = (domains: string, capacities: readonly number[]): NamedProcess[] =>
  [...domains].map((failureDomain, index) => ({
    ...{ host: `h${String(index)}`, callerAddress: `h${String(index)}:80`, failureDomain },
    capacity: capacities[index % capacities.length] ?? 1,
  }));

const select = (
  fleet: readonly NamedProcess[],
  caller: AskingCaller,
  self = "h0",
): readonly NamedProcess[] => {
  const addresses = new CallerAddresses({
    ...{ self, random: new SeededRandom(1), regions: REGIONS, getReadAgeMs: () => 0 },
    getOwn: () => undefined,
    peers: { getServing: () => fleet as readonly PeerIdentity[] as PeerIdentity[] },
  }).select(64, caller);
  return fleet.filter(({ callerAddress }) => addresses.includes(callerAddress));
};

describe("CallerAddresses", () => {
  const cases: readonly [
    name: string,
    fleet: readonly NamedProcess[],
    caller: AskingCaller,
    domains: string,
  ][] = [
    ["all of a small fleet", newFleet("aabbcc", [1]), { failureDomain: "a" }, "aabbcc"],
    ["all to a caller that says nothing", newFleet("aaaabbbb", [1]), {}, "aaaabbbb"],
    ["the caller's domain", newFleet("aaaabbbb", [1]), { failureDomain: "a" }, "aaaa"],
    ["all when that domain has few", newFleet("aaabbb", [1]), { failureDomain: "a" }, "aaabbb"],
    [
      "all when that domain is weak",
      newFleet("aaaabbbbbbb", [1]),
      { failureDomain: "a" },
      "aaaabbbbbbb",
    ],
    [
      "all to a caller of another domain",
      newFleet("aaaabbbb", [1]),
      { failureDomain: "x" },
      "aaaabbbb",
    ],
    [
      "the homes and the caller's region",
      newFleet("aabbcc", [1]),
      { failureDomain: "x", region: "x", homes: new Set(["south"]) },
      "cc",
    ],
    [
      "the caller's region beside the homes",
      newFleet("aabbcc", [1]),
      { failureDomain: "a", region: "north", homes: new Set(["south"]) },
      "aabbcc",
    ],
    [
      "all when no home has a process",
      newFleet("aabb", [1]),
      { homes: new Set(["south"]) },
      "aabb",
    ],
  ];
  for (const [name, fleet, caller, domains] of cases) {
    it(`names ${name}`, () => {
      const named = select(fleet, caller);
      expect(named.map(({ failureDomain }) => failureDomain).join("")).to.equal(domains);
    });
  }

  it("names processes by their capacity over all that answer, and never few", () => {
    const fleet = newFleet("a".repeat(24), [1.2, 0.6, 0.3]);
    const counts = new Map<number, number>();
    for (let index = 0; index < 60; index += 1) {
      const named = select(fleet, {}, `answers ${String(index)}`);
      expect(named.length).to.be.at.least(4);
      named.forEach(({ capacity }) => counts.set(capacity, (counts.get(capacity) ?? 0) + 1));
    }
    const [most = 0, half = 0, quarter = 0] = [1.2, 0.6, 0.3].map((one) => counts.get(one));
    expect(half / most).to.be.within(0.4, 0.6);
    expect(quarter / most).to.be.within(0.17, 0.33);
  });
});
