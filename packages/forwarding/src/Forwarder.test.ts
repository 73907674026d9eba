import { expect } from "chai";

import { SAFE, ForwarderHarness, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

describe("Forwarder: streams", () => {
  it("goes on at another upstream after the last whole event, within one answer", async () => {
    const story = new ForwarderHarness();
    await story.request(STREAM, 5_000);
    story.transport.startStream(["seal", "first"]);
    story.transport.sendEvents(1, 2);
    story.transport.last.observer.onData(Buffer.from("id: 3\ndata: ha"));
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.resumedAfter).to.equal("2");
    story.transport.startStream(["seal", "second"]);
    story.transport.sendEvents(3, 4);
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.caller.headers).to.include("first");
    expect(story.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2", "id: 3", "id: 4"]);
    expect(story.caller.ending).to.equal("whole");
    expect(new Set(story.sentTo).size).to.equal(2);
  });

  it("cuts a stream that may not be resumed, so that it can't look complete", async () => {
    const story = new ForwarderHarness();
    await story.request({ ...STREAM, isResumable: false }, 5_000);
    story.transport.startStream();
    story.transport.sendEvents(1);
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.caller.ending).to.equal("cut");
    expect(story.sentTo.length).to.equal(1);
  });

  it("takes a stream that ends inside an event for broken", async () => {
    const story = new ForwarderHarness();
    await story.request(STREAM, 5_000);
    story.transport.startStream();
    story.transport.last.observer.onData(Buffer.from("id: 1\ndata: x\n\nid: 2\nda"));
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.resumedAfter).to.equal("1");
  });

  it("passes an unframed stream on unframed", async () => {
    const story = new ForwarderHarness();
    await story.request(STREAM, 5_000);
    story.transport.startStream(["unframed"]);
    story.transport.sendEvents(1);
    story.transport.last.observer.onEnd();
    await story.settle();
    expect(story.caller).to.include({ isFramed: false, ending: "whole" });
  });

  const silences: readonly [name: string, isAlive: boolean, afterMs: number, sends: number][] = [
    ["stays with a silent upstream that is alive", true, 1_200, 1],
    ["leaves a silent upstream that is dead", false, 800, 2],
    ["leaves one that is alive before the caller would give up", true, 1_700, 2],
  ];
  for (const [name, isAlive, afterMs, sends] of silences) {
    it(name, async () => {
      const story = new ForwarderHarness();
      story.isUpstreamAlive = isAlive;
      await story.request(STREAM, 5_000);
      story.transport.startStream();
      story.transport.sendEvents(1);
      await story.clock.advance(afterMs);
      expect(story.sentTo.length).to.equal(sends);
    });
  }
});

describe("Forwarder: calls", () => {
  it("runs an at-most-once call once, whatever becomes of its answer", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    story.transport.last.observer.onError("sent", new Error("reset"));
    await story.settle();
    expect(story.sentTo.length).to.equal(1);
    expect(story.caller).to.include({ status: 502, isOwn: true });
  });

  it("never waits less than its time for an at-most-once call that is silent", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    await story.clock.advance(900);
    expect(story.caller.ending).to.equal("open");
    await story.clock.advance(100);
    expect(story.caller).to.include({ status: 504, isOwn: true });
    expect(story.transport.last.isAborted).to.equal(true);
  });

  it("tells when to come back, once upstreams said that they didn't run it", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    story.transport.answer(503, ["not-run"]);
    await story.settle();
    story.transport.answer(503, ["not-run"]);
    await story.settle();
    expect(story.sentTo.length).to.equal(2);
    expect(story.caller).to.include({ status: 503, isOwn: true });
    expect(story.caller.retryAfterMs).to.be.above(0);
  });

  it("makes no promise of its own out of an upstream's bare 503", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    story.transport.answer(503);
    await story.settle();
    expect(story.caller).to.include({ status: 502, isOwn: true });
  });

  it("asks another upstream for an idempotent call that is silent", async () => {
    const story = new ForwarderHarness();
    await story.request(SAFE);
    await story.clock.advance(301);
    expect(new Set(story.sentTo).size).to.equal(2);
    story.transport.answer(200, ["seal"], "body");
    await story.settle();
    expect(story.caller).to.include({ status: 200, body: "body", ending: "whole" });
  });

  it("gives a caller no answer of another request", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    story.transport.answer(200, ["forged"], "another's");
    await story.settle();
    expect(story.caller).to.include({ status: 502, isOwn: true });
    expect(story.caller.body).to.not.include("another's");
  });

  it("passes an upstream's own failure on unchanged when it may not be repeated", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    story.transport.answer(500, ["seal", "s"], "why");
    await story.settle();
    expect(story.caller).to.include({ status: 500, isOwn: false, body: "why" });
  });

  it("refuses at once when no upstream is listed", async () => {
    const story = new ForwarderHarness([]);
    await story.request(UNSAFE);
    expect(story.caller).to.include({ status: 503, isOwn: true });
    expect(story.caller.retryAfterMs).to.be.above(0);
  });

  it("drops the work at the upstream at once when the caller leaves", async () => {
    const story = new ForwarderHarness();
    await story.request(UNSAFE);
    await story.leave();
    expect(story.transport.last.isAborted).to.equal(true);
    expect(story.board.own).to.deep.equal([]);
  });
});
