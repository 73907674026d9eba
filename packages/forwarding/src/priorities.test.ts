import { expect } from "chai";

import { estimateValue } from "./lateness.js";
import { RouteTable } from "./RouteTable.js";
import { newQuery, PlacerHarness } from "./testing/PlacerHarness.js";
import { newConfig, newItem, newRoute } from "./testing/samples.js";

/** Priorities of the routes to one pool, and the rank of a request of some priority among them. */
const RANK_CASES = [
  { name: "the only one", priorities: [1], priority: 1, rank: 0 },
  { name: "equal ones", priorities: [1, 1, 1], priority: 1, rank: 0 },
  { name: "the most urgent", priorities: [2, 0, 1], priority: 0, rank: 0 },
  { name: "the least urgent", priorities: [0, 1, 2], priority: 2, rank: 2 },
  { name: "a customer's, above all routes", priorities: [1, 2], priority: 0, rank: 0 },
  { name: "a customer's, below all routes", priorities: [1, 2], priority: 4, rank: 3 },
];

/** Plan of a prompt in a fleet of which half decodes short answers. */
const planBesideShort = async (priority: number, promptTokens: number): Promise<unknown> => {
  const routes = [0, 1, 2].map((each) =>
    newRoute({ pathPrefix: `/${String(each)}/`, priority: each, isStream: true }),
  );
  const fleet = new PlacerHarness({ upstreams: 16, config: newConfig({ routes }) });
  const busy = fleet.upstreams.filter((_, index) => index % 2 === 0);
  fleet.setPeerItems(
    busy.flatMap((upstream) =>
      Array.from({ length: 4 }, (_, at) => newItem(`w-${upstream}-${String(at)}`, { upstream })),
    ),
  );
  const [route = newRoute()] = routes;
  const placement = await fleet.placer.find(newQuery("a", route, { promptTokens, priority }));
  return typeof placement === "string" ? placement : placement.plan;
};

describe("priorities under load", () => {
  for (const { name, priorities, priority, rank } of RANK_CASES) {
    it(`ranks ${name}: ${String(priority)} among ${priorities.join(", ")} at ${String(rank)}`, () => {
      const routes = priorities.map((each, index) =>
        newRoute({ pathPrefix: `/${String(index)}/`, priority: each }),
      );
      const other = newRoute({ priority: 0, pools: [{ pool: "q", weight: 1 }] });
      const table = new RouteTable(newConfig({ routes: [...routes, other] }));
      expect(table.getRank("p", priority)).to.equal(rank);
    });
  }

  it("counts a request for less with each rank, and one of the first rank for its size only", () => {
    const values = [0, 1, 2].map((rank) => estimateValue(50_000, rank));
    expect(values[0]).to.equal(estimateValue(50_000));
    expect(values[1]).to.be.below(values[0] ?? 0);
    expect(values[2]).to.be.below(values[1] ?? 0);
  });

  // A prompt that counts for less was split over fewer upstreams, and short ones behind it were late.
  for (const promptTokens of [20_000, 45_000, 110_000, 300_000]) {
    it(`load: short answers on half of the fleet, splits ${String(promptTokens)} tokens of any rank alike`, async () => {
      const [first, last] = await Promise.all(
        [0, 2].map((priority) => planBesideShort(priority, promptTokens)),
      );
      expect(first).not.to.be.a("string");
      expect(last).to.deep.equal(first);
    });
  }
});
