import { expect } from "chai";

import { newQuery, PlacerHarness } from "../testing/PlacerHarness.js";
import { newRoute } from "../testing/samples.js";

/** Failure domains of the upstreams of a prompt's plan, in an idle fleet over three domains. */
const placeFrom = async (
  nearDomain: string | undefined,
  promptTokens: number,
): Promise<readonly string[]> => {
  const { placer } = new PlacerHarness({ upstreams: 45, domains: 3, nearDomain });
  const route = newRoute({ isStream: true, maxGapMs: 1_000 });
  const placement = await placer.find(newQuery("a", route, { promptTokens }));
  const { upstream, helpers = [] } = (typeof placement !== "string" && placement.plan) || {};
  return [upstream, ...helpers].map((each) => each?.failureDomain ?? "none");
};

describe("load: an idle fleet over three failure domains, with distance weighed", () => {
  it("keeps a short prompt near", async () => {
    for (const near of ["d0", "d1", "d2"]) {
      expect(await placeFrom(near, 5_000)).to.deep.equal([near]);
    }
  });

  // Long prompts of each domain filled the third of the fleet that was near, and were late in surges.
  for (const promptTokens of [45_000, 110_000, 300_000]) {
    it(`reads ${String(promptTokens)} tokens on the upstreams that it would use anyway`, async () => {
      const near = await placeFrom("d1", promptTokens);
      expect(near).to.deep.equal(await placeFrom(undefined, promptTokens));
      expect(near.length).to.be.above(1);
    });
  }
});
