import { expect } from "chai";

import { estimateValue } from "./lateness.js";
import { RouteTable } from "./RouteTable.js";
import { newConfig, newRoute } from "./testing/samples.js";

/** Priorities of the routes to one pool, and the rank of a request of some priority among them. */
const RANK_CASES = [
  { name: "the only one", priorities: [1], priority: 1, rank: 0 },
  { name: "equal ones", priorities: [1, 1, 1], priority: 1, rank: 0 },
  { name: "the most urgent", priorities: [2, 0, 1], priority: 0, rank: 0 },
  { name: "the least urgent", priorities: [0, 1, 2], priority: 2, rank: 2 },
  { name: "a customer's, above all routes", priorities: [1, 2], priority: 0, rank: 0 },
  { name: "a customer's, below all routes", priorities: [1, 2], priority: 4, rank: 3 },
];

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
});
