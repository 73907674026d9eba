import { expect } from "chai";

import { LimitedControl } from "./limits/LimitedControl.js";
import { newRests } from "./testing/newLoneSendQuota.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newUpstream } from "./testing/samples.js";

const ALL = ["u0", "u1", "u2"];
const REST_MS = 3_000;

describe("Forwarder: upstreams that ask for rest", () => {
  for (const [name, route, tokens] of [
    ["a prompt", STREAM, 5_000],
    ["a call", UNSAFE, 0],
  ] as const) {
    it(`are left out for ${name} until the rest is over`, async () => {
      const harness = new ForwarderHarness(ALL);
      await harness.request(route, tokens);
      const [first = ""] = harness.sentTo;
      harness.transport.answer(503, ["not-run", "1", "rest-ms", String(REST_MS)]);
      await harness.settle();
      for (let index = 0; index < 10; index += 1) {
        await harness.request(route, tokens);
        harness.transport.answer(503, ["not-run", "1"]);
        await harness.settle();
      }
      expect(harness.sentTo.slice(1)).to.not.include(first);
      expect(harness.sentTo.length).to.be.above(5);
      await harness.clock.advance(REST_MS * 1.2);
      expect(harness.quota.isOpen(first)).to.equal(true);
    });

    // Guards against requests that go on to upstreams which all asked for rest.
    it(`have ${name} rejected at once when all rest, with the time until one returns`, async () => {
      const harness = new ForwarderHarness(ALL);
      ALL.forEach((id) => {
        harness.rests.record(id, 20_000);
      });
      await harness.request(route, tokens);
      expect(harness.sentTo).to.deep.equal([]);
      expect(harness.caller).to.include({ status: 503, body: "not run: limited" });
      expect(harness.caller.retryAfterMs).to.be.above(19_000);
    });
  }

  it("are neither probed nor asked for memory, but have memory released", async () => {
    const harness = new ForwarderHarness(ALL);
    const calls: string[] = [];
    const record = (name: string) => (): Promise<boolean> => {
      calls.push(name);
      return Promise.resolve(false);
    };
    const control = new LimitedControl(
      {
        ...{ isAlive: record("probe"), reserve: record("reserve") },
        release: () => record("release")().then(() => undefined),
      },
      harness.quota,
    );
    const upstream = newUpstream("u0");
    harness.rests.record("u0", REST_MS);
    expect(await control.isAlive(upstream)).to.equal(true);
    expect(await control.reserve(upstream, { id: "r", tokens: 1, holdMs: 1 })).to.equal(false);
    await control.release(upstream, "r");
    expect(calls).to.deep.equal(["release"]);
  });
});

describe("UpstreamRests", () => {
  const cases: readonly {
    name: string;
    restsMs: readonly number[];
    least: number;
    most: number;
  }[] = [
    { name: "one rest", restsMs: [3_000], least: 3_000, most: 3_600 },
    { name: "no time", restsMs: [0], least: 0, most: 0 },
    { name: "a fraction of a second", restsMs: [250], least: 250, most: 300 },
    { name: "a rest that is named again", restsMs: [3_000, 5_000], least: 5_000, most: 6_000 },
    { name: "a shorter one while it runs", restsMs: [5_000, 100], least: 5_000, most: 6_000 },
    { name: "a huge one", restsMs: [1e12], least: 60_000, most: 61_000 },
  ];
  for (const { name, restsMs, least, most } of cases) {
    it(`grants ${name}`, () => {
      const rests = newRests(new ManualClock());
      restsMs.forEach((restMs) => {
        rests.record("u0", restMs);
      });
      expect(rests.getLeftMs("u0")).to.be.within(least, most);
      rests.retain(new Set());
      expect(rests.getLeftMs("u0")).to.be.within(least, most);
    });
  }

  it("doesn't return to many upstreams in the same moment", () => {
    const rests = newRests(new ManualClock());
    const ids = Array.from({ length: 20 }, (_, index) => `u${String(index)}`);
    ids.forEach((id) => {
      rests.record(id, REST_MS);
    });
    const ends = ids.map((id) => rests.getLeftMs(id));
    expect(Math.max(...ends) - Math.min(...ends)).to.be.above(300);
  });
});

describe("Forwarder: upstreams that say that they leave", () => {
  const list = (
    version: number,
    ids: readonly string[],
  ): Parameters<ForwarderHarness["view"]["applyUpstreams"]> => [
    { version, upstreams: ids.map((id) => newUpstream(id)) },
    0,
    new Set<string>(),
  ];

  /** A harness to which `u0` said so in the answer to a request. */
  const newLeft = async (): Promise<ForwarderHarness> => {
    const harness = new ForwarderHarness(["u0"]);
    await harness.request(SAFE);
    harness.transport.answer(200, ["leaving", "1"], "x");
    await harness.settle();
    return harness;
  };

  const cases: readonly {
    name: string;
    change: (harness: ForwarderHarness) => void;
    sentTo: string[];
  }[] = [
    { name: "gets no more requests", change: () => undefined, sentTo: [] },
    {
      name: "gets none when a list names it as available",
      change: (harness) => harness.view.applyUpstreams(...list(9, ["u0"])),
      sentTo: [],
    },
    {
      name: "gets none when a list lacks it for a time",
      change: (harness) => {
        harness.view.applyUpstreams(...list(9, ["u1"]));
        harness.view.applyUpstreams(...list(10, ["u0"]));
      },
      sentTo: [],
    },
    {
      name: "is followed by its successor with another id",
      change: (harness) => harness.view.applyUpstreams(...list(9, ["u0", "u0b"])),
      sentTo: ["u0b"],
    },
  ];
  for (const { name, change, sentTo } of cases) {
    it(`one ${name}`, async () => {
      const harness = await newLeft();
      change(harness);
      await harness.request(SAFE);
      expect(harness.sentTo.slice(1)).to.deep.equal(sentTo);
    });
  }

  it("have the answer delivered, and the peers told once", async () => {
    const harness = await newLeft();
    expect(harness.caller).to.include({ status: 200, body: "x" });
    expect(harness.toldLeaving).to.deep.equal(["u0"]);
  });

  it("aren't believed in an answer of another request", async () => {
    const harness = new ForwarderHarness(ALL);
    await harness.request(SAFE);
    harness.transport.answer(200, ["forged", "1", "leaving", "1"]);
    await harness.settle();
    expect(harness.toldLeaving).to.deep.equal([]);
  });

  it("have a request rejected at once when all leave", async () => {
    const harness = new ForwarderHarness(ALL);
    ALL.forEach((id) => harness.view.recordLeaving(id));
    await harness.request(STREAM, 5_000);
    expect(harness.caller).to.include({ status: 503, body: "not run: no_upstream" });
  });
});
