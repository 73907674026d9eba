import { expect } from "chai";

import { ForwarderHarness, SAFE, STREAM } from "./testing/ForwarderHarness.js";

/** Longer than the time after which another upstream is tried for a stream. */
const STALL_MS = 1_700;
/** Right after another upstream is tried beside one that answers probes, or none. */
const SLOW_REPLACED_MS = 1_510;
const SILENT_REPLACED_MS = 720;

describe("Forwarder: an upstream that falls silent and goes on", () => {
  const deadOrAlive: readonly [name: string, isAlive: boolean][] = [
    ["answers probes", true],
    ["answers no probe", false],
  ];

  // Callers' streams were cut although the upstream was sound and nothing could take over.
  for (const [name, isAlive] of deadOrAlive) {
    it(`is awaited on the last attempt when it ${name}`, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request({ ...STREAM, maxAttempts: 1 }, 5_000);
      harness.transport.startStream();
      harness.transport.sendEvents(1);
      await harness.clock.advance(STALL_MS);
      expect(harness.caller.ending).to.equal("open");
      harness.transport.sendEvents(2);
      harness.transport.last.observer.onEnd();
      await harness.settle();
      expect(harness.caller).to.include({ ending: "whole" });
      expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    });
  }

  // With the retry budget used up, silence ended streams that nothing could resume.
  it("is awaited while the retry budget is exhausted", async () => {
    const harness = new ForwarderHarness();
    harness.exhaustRetryBudget();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo.length).to.equal(1);
    harness.transport.sendEvents(2);
    harness.transport.last.observer.onEnd();
    await harness.settle();
    expect(harness.caller).to.include({ ending: "whole" });
  });

  // A stream was given up for a resume at the same pool's only upstream, which could not take it.
  it("is awaited while no other upstream is available", async () => {
    const harness = new ForwarderHarness(["u0"]);
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo).to.deep.equal(["u0"]);
    expect(harness.transport.last.isAborted).to.equal(false);
  });

  // A stream was lost when the upstream that should resume it rejected it, though the first one went on.
  for (const [name, isAlive] of deadOrAlive) {
    it(`goes on when it ${name} and the upstream that should take over rejects the request`, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(STREAM, 5_000);
      harness.transport.startStream();
      harness.transport.sendEvents(1);
      const [first] = harness.transport.calls;
      await harness.clock.advance(isAlive ? SLOW_REPLACED_MS : SILENT_REPLACED_MS);
      expect(harness.sentTo.length).to.equal(2);
      harness.transport.answer(503, ["not-run"]);
      await harness.settle();
      expect(harness.caller.ending).to.equal("open");
      first?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
      first?.observer.onEnd();
      await harness.settle();
      expect(harness.caller.ending).to.equal("whole");
      expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    });
  }

  // Two upstreams must never both write to one answer.
  it("wins over the upstream that should take over when its next event comes first", async () => {
    const harness = new ForwarderHarness();
    harness.isUpstreamAlive = false;
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    const [first] = harness.transport.calls;
    await harness.clock.advance(STALL_MS);
    first?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
    await harness.settle();
    expect(harness.transport.last.isAborted).to.equal(true);
    harness.transport.startStream();
    harness.transport.sendEvents(2, 3);
    first?.observer.onData(Buffer.from("id: 3\ndata: x\n\n"));
    first?.observer.onEnd();
    await harness.settle();
    expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2", "id: 3"]);
    expect(harness.caller.ending).to.equal("whole");
    expect(harness.loadTracker.own).to.deep.equal([]);
  });

  // Work went on twice in a busy fleet, where silence is mostly another request's prefill.
  it("is ended at an upstream that answers probes once its replacement was not rejected", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(SLOW_REPLACED_MS);
    const isAborted = (): boolean[] => harness.transport.calls.map((call) => call.isAborted);
    expect(isAborted()).to.deep.equal([false, false]);
    await harness.clock.advance(100);
    expect(isAborted()).to.deep.equal([true, false]);
  });

  it("is ended once another upstream has taken over", async () => {
    const harness = new ForwarderHarness();
    harness.isUpstreamAlive = false;
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    const [first] = harness.transport.calls;
    await harness.clock.advance(STALL_MS);
    expect(first?.isAborted).to.equal(false);
    harness.transport.startStream();
    harness.transport.sendEvents(2);
    expect(first?.isAborted).to.equal(true);
    first?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
    harness.transport.last.observer.onEnd();
    await harness.settle();
    expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    expect(harness.caller.ending).to.equal("whole");
  });

  // A request whose upstreams fell silent three times was taken for one that crashes them.
  it("counts as no crash of the request while it answers probes", async () => {
    const harness = new ForwarderHarness();
    for (let round = 0; round < 3; round++) {
      await harness.request(STREAM, 5_000);
      harness.transport.startStream();
      harness.transport.sendEvents(1);
      await harness.clock.advance(STALL_MS);
      await harness.clock.advance(10_000);
    }
    expect(harness.isBlocked).to.equal(false);
  });

  it("delivers a call's late answer when the second upstream fails", async () => {
    const harness = new ForwarderHarness();
    await harness.request(SAFE);
    const [first] = harness.transport.calls;
    await harness.clock.advance(310);
    harness.transport.answer(500, [], "failed");
    await harness.settle();
    expect(harness.caller.ending).to.equal("open");
    first?.observer.onHead({ status: 200, headers: ["seal"] });
    first?.observer.onData(Buffer.from("body"));
    first?.observer.onEnd();
    await harness.settle();
    expect(harness.caller).to.include({ status: 200, body: "body", ending: "whole" });
  });

  it("ends with the caller's disconnection, at both upstreams", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(STALL_MS);
    await harness.disconnect();
    expect(harness.transport.calls.map(({ isAborted }) => isAborted)).to.deep.equal([true, true]);
    expect(harness.loadTracker.own).to.deep.equal([]);
  });

  it("ends with the request's deadline, at both upstreams", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, timeoutMs: 3_000 }, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(3_100);
    expect(harness.transport.calls.map(({ isAborted }) => isAborted)).to.deep.equal([true, true]);
    expect(harness.caller.ending).to.equal("cut");
  });
});
