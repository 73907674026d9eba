import { expect } from "chai";

import { ForwarderHarness, STREAM } from "../testing/ForwarderHarness.js";
import { newUpstream } from "../testing/samples.js";

const RESERVE_MS = 200;
const IDS = ["u0", "u1", "u2", "u3"];

/** Guards against requests that were placed before an evacuation and are sent after it. */
describe("a request that waits for memory when a failure domain is evacuated", () => {
  const newHarness = (): ForwarderHarness => {
    const harness = new ForwarderHarness(IDS);
    const upstreams = IDS.map((id, index) =>
      newUpstream(id, { port: index + 1, failureDomain: id }),
    );
    harness.view.applyUpstreams({ version: 2, upstreams }, 0, new Set());
    harness.reserveDelayMs = RESERVE_MS;
    return harness;
  };
  const request = async (harness: ForwarderHarness): Promise<readonly string[]> => {
    await harness.request({ ...STREAM, maxGapMs: 1_000, targetMs: 3_000 }, 400_000);
    return harness.memoryCalls.map((call) => call.split(" ")[1] ?? "");
  };

  it("goes to other upstreams, and what it reserved is released", async () => {
    const harness = newHarness();
    const [helper = ""] = await request(harness);
    harness.view.setEvacuated(new Set([helper]));
    await harness.clock.advance(2 * RESERVE_MS);
    expect(harness.sentTo).to.have.length(1).and.not.include(helper);
    const calls = harness.memoryCalls.filter((call) => call.split(" ")[1] === helper);
    expect(calls.map((call) => call.split(" ")[0])).to.deep.equal(["reserve", "release"]);
  });

  it("is rejected at once when all domains are", async () => {
    const harness = newHarness();
    await request(harness);
    harness.view.setEvacuated(new Set(IDS));
    await harness.clock.advance(2 * RESERVE_MS);
    expect(harness.sentTo).to.deep.equal([]);
    expect(harness.caller).to.include({ status: 503 });
  });
});
