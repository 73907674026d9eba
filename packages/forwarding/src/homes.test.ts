import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { FleetView } from "./FleetView.js";
import { intersectHomes } from "./regions.js";
import { RouteTable } from "./RouteTable.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newRoute, newUpstream } from "./testing/samples.js";
import { DetourPeers } from "./uplink/DetourPeers.js";

const REGIONS = new Map([
  ...([
    ["a", "north"],
    ["b", "north"],
    ["c", "south"],
  ] as const),
]);

/** Guards against requests that leave the regions to which their route or customer is bound. */
describe("homes", () => {
  const cases: readonly [
    name: string,
    route: string[] | undefined,
    customer: string[] | undefined,
    upstreams: string,
  ][] = [
    ["neither has homes", undefined, undefined, "abcx"],
    ["the route has", ["north"], undefined, "ab"],
    ["the customer has", undefined, ["south"], "c"],
    ["both have the same", ["south"], ["south"], "c"],
    ["both have some in common", ["north", "south"], ["south", "east"], "c"],
    ["both have none in common", ["north"], ["south"], ""],
    ["nothing is in them", ["east"], undefined, ""],
    ["a home is the empty name", [""], undefined, ""],
  ];
  for (const [name, route, customer, domains] of cases) {
    it(`leave "${domains}" when ${name}`, () => {
      const view = new FleetView(new ManualClock(), REGIONS);
      const upstreams = [..."abcx"].map((id) => newUpstream(id, { failureDomain: id }));
      view.applyUpstreams({ version: 1, upstreams }, 0, new Set());
      const homes = intersectHomes([route, customer]);
      const ids = view.getAvailable("p", homes).map(({ id }) => id);
      expect(ids.join("")).to.equal(domains);
      const peers = new DetourPeers({
        ...{ clock: new ManualClock(), random: new SeededRandom(1) },
        ...{ getHosts: () => ["a", "c", "x"], getLeavingHosts: () => ["b"] },
      });
      const hosts = peers.select(9, (host) => view.isHome(homes, host));
      expect(hosts.sort().join("")).to.equal(domains);
    });
  }

  it("of a host are those of all its routes", () => {
    const newBound = (pathPrefix: string, homeRegions?: string[]): ReturnType<typeof newRoute> =>
      newRoute({ pathPrefix, ...(homeRegions && { homeRegions }) });
    const routes = [
      newBound("/a/", ["north", "south"]),
      newBound("/b/", ["south"]),
      newBound("/c/"),
    ];
    const table = new RouteTable(newConfig({ routes }));
    expect([...(table.getHostHomes("A.example") ?? [])]).to.deep.equal(["south"]);
    expect(table.getHostHomes("other.example")).to.equal(undefined);
  });
});
