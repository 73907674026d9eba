import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

const ONCE: Partial<Route> = { ...STREAM, isResumable: false };

describe("Forwarder: answers that end with their connection", () => {
  // The end of an upstream's process closes its connections in order, as the end of an answer does.
  const streams: readonly {
    name: string;
    route: Partial<Route>;
    isAlive: boolean;
    ending: string;
    sends: number;
  }[] = [
    {
      ...{ name: "ends a stream whose upstream lives on", route: STREAM },
      ...{ isAlive: true, ending: "whole", sends: 1 },
    },
    {
      ...{ name: "resumes a stream whose upstream has ended", route: STREAM },
      ...{ isAlive: false, ending: "open", sends: 2 },
    },
    {
      ...{ name: "cuts a stream that nobody may resume", route: ONCE },
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
      harness.transport.last.observer.onEnd();
      await harness.settle();
      expect(harness.caller.ending).to.equal(ending);
      expect(harness.sentTo.length).to.equal(sends);
    });
  }

  // A whole stream was resumed once more, or cut, since its first upstream had sent it in chunks.
  it("ends a stream that another upstream went on with, without framing", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    harness.transport.last.observer.onError("sent", new Error("reset"));
    await harness.settle();
    harness.transport.startStream(["unframed"]);
    harness.transport.sendEvents(2);
    harness.transport.last.observer.onEnd();
    await harness.settle();
    expect(harness.caller.ending).to.equal("whole");
    expect(harness.sentTo.length).to.equal(2);
  });

  // A part of an answer would reach the caller as all of it.
  const calls: readonly {
    name: string;
    route: Partial<Route>;
    isAlive: boolean;
    status: number | undefined;
    sends: number;
  }[] = [
    {
      ...{ name: "delivers an answer whose upstream lives on", route: UNSAFE },
      ...{ isAlive: true, status: 200, sends: 1 },
    },
    {
      ...{ name: "repeats a safe call whose upstream has ended", route: SAFE },
      ...{ isAlive: false, status: undefined, sends: 2 },
    },
    {
      ...{ name: "says that a call may have run whose upstream has ended", route: UNSAFE },
      ...{ isAlive: false, status: 502, sends: 1 },
    },
  ];
  for (const { name, route, isAlive, status, sends } of calls) {
    it(name, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(route);
      harness.transport.answer(200, ["unframed"], "part");
      await harness.settle();
      expect(harness.caller.status).to.equal(status);
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
    observer.onEnd();
    await harness.settle();
    expect(harness.caller).to.include({ status: 200, ending: "cut" });
  });
});
