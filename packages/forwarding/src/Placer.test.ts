import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { PlacementFailure, type Placement } from "./Placer.js";
import { newQuery, PlacerHarness } from "./testing/PlacerHarness.js";
import { newItem, newRoute } from "./testing/samples.js";

const PROCESSES = 12;

/** Places one short prompt in each of several processes that have the same view. */
const placeAtOnce = async (upstreams: number): Promise<Map<string, number>> => {
  const counts = new Map<string, number>();
  const random = new SeededRandom(1);
  for (let process = 1; process <= PROCESSES; process++) {
    const fleet = new PlacerHarness({ upstreams, random });
    // Half of the upstreams already decode a short answer.
    const busy = fleet.upstreams.filter((_, index) => index % 2 === 0);
    fleet.setPeerItems(busy.map((id) => newItem(`w-${id}`, { upstream: id, kvTokens: 5_000 })));
    const route = newRoute({ isStream: true, maxGapMs: 250 });
    const query = newQuery(`a${String(process)}`, route, { promptTokens: 5_000 });
    const placement = await fleet.placer.find(query);
    if (typeof placement !== "string") {
      counts.set(placement.upstream.id, (counts.get(placement.upstream.id) ?? 0) + 1);
    }
  }
  return counts;
};

/** Places one long prompt in a fleet that is full, after a short one that is worth more. */
const placeInFullFleet = async (
  route: Route,
  lastEventId: string | undefined,
): Promise<Placement | PlacementFailure> => {
  const fleet = new PlacerHarness({ upstreams: 2 });
  const slots = [...fleet.view.upstreams.values()].flatMap(({ id, slots: count }) =>
    Array.from({ length: count }, (_, at) => newItem(`w-${id}-${String(at)}`, { upstream: id })),
  );
  fleet.setPeerItems(slots);
  await fleet.placer.find(newQuery("short", route, { promptTokens: 1_000 }));
  return fleet.placer.find(newQuery("long", route, { promptTokens: 200_000, lastEventId }));
};

describe("Placer: a prompt that is worth less than others in a full fleet", () => {
  const RESUMABLE = newRoute({ isStream: true, isResumable: true, maxGapMs: 250 });
  const cases: readonly [
    name: string,
    route: Route,
    id: string | undefined,
    isAdmitted: boolean,
  ][] = [
    ["a new prompt", RESUMABLE, undefined, false],
    ["a prompt that its caller resumes", RESUMABLE, "7", true],
    ["a prompt of a route without resume", { ...RESUMABLE, isResumable: false }, "7", false],
  ];
  for (const [name, route, id, isAdmitted] of cases) {
    // Guards against resumed streams that were shed like new prompts, midway in their answer.
    it(`${isAdmitted ? "lets in" : "sheds"} ${name}`, async () => {
      const placement = await placeInFullFleet(route, id);
      expect(placement === PlacementFailure.Overloaded).to.equal(!isAdmitted);
    });
  }
});

describe("Placer: many processes that choose at the same moment", () => {
  it("spreads their prompts over the upstreams of a large pool", async () => {
    const counts = await placeAtOnce(54);
    expect(Math.max(...counts.values())).to.be.at.most(PROCESSES / 3);
  });

  it("picks the best upstream of a small pool", async () => {
    expect((await placeAtOnce(14)).size).to.equal(1);
  });
});
