import { expect } from "chai";

import { endAnswer } from "./testing/FakeUpstreams.js";
import { SAFE, ForwarderHarness, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

describe("Forwarder: streams", () => {
  it("resumes at another upstream after the last complete event, within one answer", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream(["seal", "first"]);
    harness.transport.sendEvents(1, 2);
    harness.transport.last.observer.onData(Buffer.from("id: 3\ndata: ha"));
    harness.transport.last.observer.onError("sent", new Error("reset"));
    await harness.settle();
    expect(harness.resumedAfter).to.equal("2");
    harness.transport.startStream(["seal", "second"]);
    harness.transport.sendEvents(3, 4);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.headers).to.include("first");
    expect(harness.caller.body.match(/id: \d/g)).to.deep.equal([
      "id: 1",
      "id: 2",
      "id: 3",
      "id: 4",
    ]);
    expect(harness.caller.ending).to.equal("whole");
    expect(new Set(harness.sentTo).size).to.equal(2);
  });

  it("breaks a stream that may not be resumed, so that it can't be taken for complete", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, isResumable: false }, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    harness.transport.last.observer.onError("sent", new Error("reset"));
    await harness.settle();
    expect(harness.caller.ending).to.equal("cut");
    expect(harness.sentTo.length).to.equal(1);
  });

  it("treats a stream that ends inside an event as broken", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.last.observer.onData(Buffer.from("id: 1\ndata: x\n\nid: 2\nda"));
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.resumedAfter).to.equal("1");
  });

  // Answers were cut 20 ms before their route's time-out, while they went on.
  it("cuts a stream at its route's time-out, and not before", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, timeoutMs: 1_000 });
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(990);
    harness.transport.sendEvents(2);
    expect(harness.caller.ending).to.equal("open");
    await harness.clock.advance(10);
    expect(harness.caller.ending).to.equal("cut");
  });

  it("says that a request may have run before its caller's time is over", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, timeoutMs: 1_000 });
    await harness.clock.advance(990);
    expect(harness.caller).to.include({ status: 504, isOwn: true });
  });

  const stalls: readonly [name: string, isAlive: boolean, afterMs: number, sends: number][] = [
    ["waits for a stalled upstream that is alive", true, 1_200, 1],
    ["abandons a stalled upstream that is dead", false, 800, 2],
    ["abandons one that is alive before the caller would give up", true, 1_700, 2],
  ];
  for (const [name, isAlive, afterMs, sends] of stalls) {
    it(name, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(STREAM, 5_000);
      harness.transport.startStream();
      harness.transport.sendEvents(1);
      await harness.clock.advance(afterMs);
      expect(harness.sentTo.length).to.equal(sends);
    });
  }
});

describe("Forwarder: calls", () => {
  it("runs an at-most-once call once, whatever becomes of its answer", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    harness.transport.last.observer.onError("sent", new Error("reset"));
    await harness.settle();
    expect(harness.sentTo.length).to.equal(1);
    expect(harness.caller).to.include({ status: 502, isOwn: true });
  });

  it("awaits a stalled at-most-once call until its deadline", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    await harness.clock.advance(900);
    expect(harness.caller.ending).to.equal("open");
    await harness.clock.advance(100);
    expect(harness.caller).to.include({ status: 504, isOwn: true });
    expect(harness.transport.last.isAborted).to.equal(true);
  });

  it("sends a time to retry after when the upstreams state that they didn't run it", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    harness.transport.answer(503, ["not-run"]);
    await harness.settle();
    harness.transport.answer(503, ["not-run"]);
    await harness.settle();
    expect(harness.sentTo.length).to.equal(2);
    expect(harness.caller).to.include({ status: 503, isOwn: true });
    expect(harness.caller.retryAfterMs).to.be.above(0);
  });

  it("doesn't pass on a 503 without the statement that the request didn't run", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    harness.transport.answer(503);
    await harness.settle();
    expect(harness.caller).to.include({ status: 502, isOwn: true });
  });

  it("sends a stalled idempotent call to another upstream", async () => {
    const harness = new ForwarderHarness();
    await harness.request(SAFE);
    await harness.clock.advance(301);
    expect(new Set(harness.sentTo).size).to.equal(2);
    harness.transport.answer(200, ["seal"], "body");
    await harness.settle();
    expect(harness.caller).to.include({ status: 200, body: "body", ending: "whole" });
  });

  it("never sends a caller the answer to another request", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    harness.transport.answer(200, ["forged"], "another's");
    await harness.settle();
    expect(harness.caller).to.include({ status: 502, isOwn: true });
    expect(harness.caller.body).to.not.include("another's");
  });

  it("forwards an upstream's error unchanged when the call may not be repeated", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    harness.transport.answer(500, ["seal", "s"], "why");
    await harness.settle();
    expect(harness.caller).to.include({ status: 500, isOwn: false, body: "why" });
  });

  const laterSends: readonly [name: string, fail: (harness: ForwarderHarness) => Promise<void>][] =
    [
      [
        "times out",
        async ({ clock }) => {
          await clock.advance(1_000);
        },
      ],
      [
        "is cut",
        async ({ transport, clock }) => {
          transport.last.observer.onError("sent", new Error("reset"));
          await clock.advance(0);
        },
      ],
    ];
  for (const [name, fail] of laterSends) {
    // A complete error answer was replaced by one of this process, which tells less.
    it(`passes on the error answer of one upstream when the send to the other ${name}`, async () => {
      const harness = new ForwarderHarness();
      await harness.request(SAFE);
      harness.transport.answer(500, ["seal", "s"], "why");
      await harness.settle();
      expect(harness.sentTo.length).to.equal(2);
      await fail(harness);
      expect(harness.caller).to.include({ status: 500, isOwn: false, body: "why" });
    });
  }

  it("rejects at once when no upstream is listed", async () => {
    const harness = new ForwarderHarness([]);
    await harness.request(UNSAFE);
    expect(harness.caller).to.include({ status: 503, isOwn: true });
    expect(harness.caller.retryAfterMs).to.be.above(0);
  });

  it("aborts the upstream call at once when the caller disconnects", async () => {
    const harness = new ForwarderHarness();
    await harness.request(UNSAFE);
    await harness.disconnect();
    expect(harness.transport.last.isAborted).to.equal(true);
    expect(harness.loadTracker.own).to.deep.equal([]);
  });
});
