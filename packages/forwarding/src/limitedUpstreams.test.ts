import { expect } from "chai";

import { planPlacement } from "./placement.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";
import { ENGINE, newCandidates, newPrompt } from "./testing/samples.js";

const ALL = ["u0", "u1", "u2"];

/** A harness whose given upstreams have just named a limit. */
const newHarness = (limited: readonly string[], perSecond = 0.5): ForwarderHarness => {
  const harness = new ForwarderHarness(ALL);
  limited.forEach((upstream) => {
    harness.limits.record({ upstream, perSecond, sentMs: 0, receivedMs: 0 });
  });
  return harness;
};

describe("Forwarder: upstreams that name limits", () => {
  for (const [name, route, tokens] of [
    ["a prompt", STREAM, 5_000],
    ["a call", UNSAFE, 0],
  ] as const) {
    it(`are left out for ${name} while others take it`, async () => {
      const harness = newHarness(["u0", "u2"]);
      await harness.request(route, tokens);
      expect(harness.sentTo).to.deep.equal(["u1"]);
    });

    // Callers whose request can't be served in time were held until they left.
    it(`have ${name} rejected at once when all of them do, with a time to return`, async () => {
      const harness = newHarness(ALL);
      await harness.request(route, tokens);
      expect(harness.sentTo).to.deep.equal([]);
      expect(harness.caller).to.include({ status: 503, body: "not run: limited" });
      expect(harness.caller.retryAfterMs).to.be.above(1_000);
    });
  }

  // A request that ran and isn't repeated for want of quota may not be told that it hadn't run.
  it("don't have a request that ran and can't be repeated in time rejected", async () => {
    const harness = newHarness(["u0", "u2"]);
    await harness.request(SAFE);
    harness.transport.answer(500);
    await harness.settle();
    expect(harness.sentTo).to.deep.equal(["u1"]);
    expect(harness.caller).to.include({ status: 500, isOwn: false });
  });

  it("are learned from the head of any answer that is the request's", async () => {
    const harness = newHarness([]);
    await harness.request(UNSAFE);
    harness.transport.answer(200, ["limit", "2"]);
    expect(harness.limits.all.map(({ perSecond }) => perSecond)).to.deep.equal([2]);
  });

  it("aren't learned from an answer that is another request's", async () => {
    const harness = newHarness([]);
    await harness.request(UNSAFE);
    harness.transport.answer(200, ["forged", "1", "limit", "2"]);
    expect(harness.limits.all).to.deep.equal([]);
  });
});

describe("planPlacement with limited upstreams", () => {
  const newLimited = (avoidances: readonly number[]): ReturnType<typeof newCandidates> =>
    newCandidates(avoidances.map(() => ({}))).map((candidate, index) => ({
      ...candidate,
      avoidance: avoidances[index] ?? 0,
    }));

  it("gives them no parts of a long prompt", () => {
    const prompt = newPrompt({ promptTokens: 200_000, maxGapMs: 1_000, targetLeftMs: 3_000 });
    const plan = planPlacement(ENGINE, prompt, newLimited([0.1, 0, 0, 0.1]));
    const members = [plan?.upstream, ...(plan?.helpers ?? [])].map((upstream) => upstream?.id);
    expect(members).to.have.members(["u1", "u2"]);
  });

  it("uses one when all are limited", () => {
    expect(planPlacement(ENGINE, newPrompt(), newLimited([1, 0.2]))?.upstream.id).to.equal("u1");
  });
});
