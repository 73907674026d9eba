import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { SAFE, ForwarderHarness, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

describe("Forwarder: prompts larger than one engine", () => {
  const LARGE: Partial<Route> = { ...STREAM, maxGapMs: 1_000, targetMs: 3_000 };

  it("holds memory before it sends, renews it, and lets go of all of it at the end", async () => {
    const story = new ForwarderHarness();
    await story.request(LARGE, 400_000);
    const reserved = story.orders.filter((order) => order.startsWith("reserve")).length;
    expect(reserved).to.be.above(0);
    expect(story.sentTo.length).to.equal(1);
    await story.clock.advance(1_200);
    expect(story.orders.length).to.equal(2 * reserved);
    story.transport.startStream();
    story.transport.sendEvents(1);
    story.transport.last.observer.onEnd();
    await story.settle();
    const ids = new Set(story.orders.map((order) => order.replace(/^\w+ /, "")));
    const released = story.orders.filter((order) => order.startsWith("release"));
    expect(released.length).to.equal(ids.size);
    await story.clock.advance(5_000);
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("lets go of memory when its caller leaves", async () => {
    const story = new ForwarderHarness();
    await story.request(LARGE, 400_000);
    await story.leave();
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("sends nothing unless all of the memory is held", async () => {
    const story = new ForwarderHarness();
    story.hasMemory = false;
    await story.request(LARGE, 400_000);
    expect(story.sentTo).to.deep.equal([]);
    expect(story.orders.some((order) => order.startsWith("release"))).to.equal(true);
    await story.clock.advance(70);
    story.hasMemory = true;
    await story.clock.advance(70);
    expect(story.sentTo.length).to.equal(1);
  });
});

describe("Forwarder: the end of a route's time", () => {
  const END_MS = 1_000;
  const SLACK_MS = 300;
  const cases: readonly [
    name: string,
    route: Partial<Route>,
    tokens: number,
    prepare: (story: ForwarderHarness) => void,
    expected: { status: number; ending: string },
  ][] = [
    ["a call that may have run", UNSAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    ["a call that may repeat", SAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    [
      "a stream before its first event",
      STREAM,
      5_000,
      () => undefined,
      { status: 504, ending: "whole" },
    ],
    [
      "a prompt whose memory is never free",
      STREAM,
      400_000,
      (story) => {
        story.hasMemory = false;
      },
      { status: 503, ending: "whole" },
    ],
    [
      "a prompt whose order for memory gets no answer",
      STREAM,
      400_000,
      (story) => {
        story.reserveMs = 60_000;
      },
      { status: 503, ending: "whole" },
    ],
  ];
  for (const [name, route, tokens, prepare, expected] of cases) {
    it(`answers ${name} in time`, async () => {
      const story = new ForwarderHarness();
      prepare(story);
      await story.request({ ...route, timeoutMs: END_MS }, tokens);
      await story.clock.advance(END_MS + SLACK_MS);
      expect(story.caller).to.include(expected);
      expect(story.transport.calls.every(({ isAborted }) => isAborted)).to.equal(true);
      expect(story.board.own).to.deep.equal([]);
    });
  }

  it("lets go of memory whose order was answered after the end", async () => {
    const story = new ForwarderHarness();
    story.reserveMs = 1_500;
    await story.request({ ...STREAM, timeoutMs: END_MS }, 400_000);
    await story.clock.advance(5_000);
    expect(story.sentTo).to.deep.equal([]);
    const count = (verb: string): number =>
      story.orders.filter((order) => order.startsWith(verb)).length;
    expect(count("release")).to.equal(count("reserve"));
    expect(story.orders.at(-1)).to.match(/^release/);
  });

  it("cuts a stream in the middle", async () => {
    const story = new ForwarderHarness();
    await story.request({ ...STREAM, timeoutMs: END_MS }, 5_000);
    story.transport.startStream();
    story.transport.sendEvents(1);
    await story.clock.advance(END_MS + SLACK_MS);
    expect(story.caller).to.include({ status: 200, ending: "cut" });
  });
});
