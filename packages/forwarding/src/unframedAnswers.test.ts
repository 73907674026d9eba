import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

const ONCE: Partial<Route> = { ...STREAM, isResumable: false };

/** A stream that ended in order after its first event, without framing, at an upstream that lives on. */
const endUnframed = async (): Promise<ForwarderHarness> => {
  const harness = new ForwarderHarness();
  await harness.request(STREAM, 5_000);
  harness.transport.startStream(["unframed"]);
  harness.transport.sendEvents(1);
  endAnswer(harness.transport.last);
  await harness.settle();
  return harness;
};

describe("Forwarder: answers that end with their connection", () => {
  // An upstream's process that ends, or an upstream that loses an answer, closes its connection in order.
  const streams: readonly {
    name: string;
    route: Partial<Route>;
    isAlive: boolean;
    ending: string;
    sends: number;
  }[] = [
    {
      ...{ name: "resumes a stream whose upstream lives on", route: STREAM },
      ...{ isAlive: true, ending: "open", sends: 2 },
    },
    {
      ...{ name: "resumes a stream whose upstream has ended", route: STREAM },
      ...{ isAlive: false, ending: "open", sends: 2 },
    },
    {
      ...{ name: "ends a stream that nobody may resume, whose upstream lives on", route: ONCE },
      ...{ isAlive: true, ending: "whole", sends: 1 },
    },
    {
      ...{ name: "cuts a stream that nobody may resume, whose upstream has ended", route: ONCE },
      ...{ isAlive: false, ending: "cut", sends: 1 },
    },
  ];
  for (const { name, route, isAlive, ending, sends } of streams) {
    it(name, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(route, 5_000);
      harness.transport.startStream(["unframed"]);
      harness.transport.sendEvents(1);
      endAnswer(harness.transport.last);
      await harness.settle();
      expect(harness.caller.ending).to.equal(ending);
      expect(harness.sentTo.length).to.equal(sends);
      expect(harness.isBlocked).to.equal(false);
    });
  }

  for (const framing of [[], ["unframed"]]) {
    it(`ends a stream to which another upstream adds nothing${framing.length > 0 ? ", also unframed" : ""}`, async () => {
      const harness = await endUnframed();
      expect(harness.resumedAfter).to.equal("1");
      harness.transport.startStream(framing);
      endAnswer(harness.transport.last);
      await harness.settle();
      expect(harness.caller.ending).to.equal("whole");
    });
  }

  // A whole stream was cut where the second upstream didn't know what to say to a finished request.
  const confirmations: readonly [
    name: string,
    headers: readonly string[],
    events: number[],
    string,
  ][] = [
    ["an error", ["forged"], [], "whole"],
    ["more events, and breaks off", ["stream", "1"], [2], "cut"],
  ];
  for (const [name, headers, events, ending] of confirmations) {
    it(`${ending === "cut" ? "cuts" : "ends"} a stream to which the last upstream adds ${name}`, async () => {
      const harness = await endUnframed();
      harness.transport.last.observer.onHead({ status: 200, headers });
      harness.transport.sendEvents(...events);
      harness.transport.last.observer.onError("sent", new Error("reset"));
      await harness.settle();
      expect(harness.caller.ending).to.equal(ending);
    });
  }

  it("waits a second at most for another upstream to confirm the end of a stream", async () => {
    const harness = await endUnframed();
    await harness.clock.advance(950);
    expect(harness.caller.ending).to.equal("open");
    await harness.clock.advance(100);
    expect(harness.caller.ending).to.equal("whole");
  });

  it("goes on with a stream to which another upstream adds events", async () => {
    const harness = await endUnframed();
    harness.transport.startStream();
    for (const id of [2, 3, 4]) {
      harness.transport.sendEvents(id);
      await harness.clock.advance(400);
    }
    expect(harness.caller.ending).to.equal("open");
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.ending).to.equal("whole");
  });

  // Every stream of a pool that never frames would take two upstreams, or be cut.
  it("takes the end of a stream for whole where most answers are unframed", async () => {
    const harness = new ForwarderHarness();
    for (let answers = 0; answers < 6; answers++) {
      await harness.request(UNSAFE);
      harness.transport.answer(200, ["unframed"], "all");
      await harness.settle();
    }
    const before = harness.sentTo.length;
    harness.caller.ending = "open";
    await harness.request(STREAM, 5_000);
    harness.transport.startStream(["unframed"]);
    harness.transport.sendEvents(1);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.ending).to.equal("whole");
    expect(harness.sentTo.length).to.equal(before + 1);
  });

  // A part of an answer would reach the caller as all of it.
  const calls: readonly {
    name: string;
    route: Partial<Route>;
    isAlive: boolean;
    status: number | undefined;
    ending: string;
    sends: number;
  }[] = [
    {
      ...{ name: "passes an answer on without framing whose upstream lives on", route: UNSAFE },
      ...{ isAlive: true, status: 200, ending: "unframed", sends: 1 },
    },
    {
      ...{ name: "repeats a safe call whose upstream has ended", route: SAFE },
      ...{ isAlive: false, status: undefined, ending: "open", sends: 2 },
    },
    {
      ...{ name: "says that a call may have run whose upstream has ended", route: UNSAFE },
      ...{ isAlive: false, status: 502, ending: "whole", sends: 1 },
    },
  ];
  for (const { name, route, isAlive, status, ending, sends } of calls) {
    it(name, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(route);
      harness.transport.answer(200, ["unframed"], "part");
      await harness.settle();
      expect(harness.caller).to.include({ status, ending });
      expect(harness.sentTo.length).to.equal(sends);
    });
  }

  it("cuts a large answer whose upstream has ended", async () => {
    const harness = new ForwarderHarness();
    harness.isUpstreamAlive = false;
    await harness.request(UNSAFE);
    const { observer } = harness.transport.last;
    observer.onHead({ status: 200, headers: ["unframed"] });
    observer.onData(Buffer.alloc(2_000_000));
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller).to.include({ status: 200, ending: "cut" });
  });
});
