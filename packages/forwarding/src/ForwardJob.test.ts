import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { SAFE, ForwarderHarness, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

describe("Forwarder: prompts larger than one engine", () => {
  const LARGE: Partial<Route> = { ...STREAM, maxGapMs: 1_000, targetMs: 3_000 };

  it("reserves memory before it sends, renews it, and releases all of it at the end", async () => {
    const harness = new ForwarderHarness();
    await harness.request(LARGE, 400_000);
    const reserved = harness.memoryCalls.filter((call) => call.startsWith("reserve")).length;
    expect(reserved).to.be.above(0);
    expect(harness.sentTo.length).to.equal(1);
    await harness.clock.advance(1_200);
    expect(harness.memoryCalls.length).to.equal(2 * reserved);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    endAnswer(harness.transport.last);
    await harness.settle();
    const ids = new Set(harness.memoryCalls.map((call) => call.replace(/^\w+ /, "")));
    const released = harness.memoryCalls.filter((call) => call.startsWith("release"));
    expect(released.length).to.equal(ids.size);
    await harness.clock.advance(5_000);
    expect(harness.memoryCalls.at(-1)).to.match(/^release/);
  });

  it("releases memory when its caller disconnects", async () => {
    const harness = new ForwarderHarness();
    await harness.request(LARGE, 400_000);
    await harness.disconnect();
    expect(harness.memoryCalls.at(-1)).to.match(/^release/);
  });

  it("sends nothing unless all of the memory is reserved", async () => {
    const harness = new ForwarderHarness();
    harness.hasMemory = false;
    await harness.request(LARGE, 400_000);
    expect(harness.sentTo).to.deep.equal([]);
    expect(harness.memoryCalls.some((call) => call.startsWith("release"))).to.equal(true);
    await harness.clock.advance(70);
    harness.hasMemory = true;
    await harness.clock.advance(70);
    expect(harness.sentTo.length).to.equal(1);
  });
});

describe("Forwarder: the deadline of a request", () => {
  const TIMEOUT_MS = 1_000;
  /** Time in which the upstreams could prefill a prompt larger than one of them. */
  const LARGE_TIMEOUT_MS = 8_000;
  const LARGE: Partial<Route> = { ...STREAM, timeoutMs: LARGE_TIMEOUT_MS };
  const SLACK_MS = 300;
  const cases: readonly [
    name: string,
    route: Partial<Route>,
    tokens: number,
    prepare: (harness: ForwarderHarness) => void,
    expected: { status: number; ending: string },
  ][] = [
    ["a call that may have run", UNSAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    ["a call that may be repeated", SAFE, 0, () => undefined, { status: 504, ending: "whole" }],
    [
      "a stream before its first event",
      STREAM,
      5_000,
      () => undefined,
      { status: 504, ending: "whole" },
    ],
    [
      "a prompt whose memory is never free",
      LARGE,
      400_000,
      (harness) => {
        harness.hasMemory = false;
      },
      { status: 503, ending: "whole" },
    ],
    [
      "a prompt whose reservation gets no answer",
      LARGE,
      400_000,
      (harness) => {
        harness.reserveDelayMs = 60_000;
      },
      { status: 503, ending: "whole" },
    ],
  ];
  for (const [name, route, tokens, prepare, expected] of cases) {
    it(`answers ${name} before the deadline`, async () => {
      const harness = new ForwarderHarness();
      prepare(harness);
      await harness.request({ timeoutMs: TIMEOUT_MS, ...route }, tokens);
      expect(harness.memoryCalls.length > 0).to.equal(route === LARGE);
      await harness.clock.advance((route.timeoutMs ?? TIMEOUT_MS) + SLACK_MS);
      expect(harness.caller).to.include(expected);
      expect(harness.transport.calls.every(({ isAborted }) => isAborted)).to.equal(true);
      expect(harness.loadTracker.own).to.deep.equal([]);
    });
  }

  it("releases memory that was reserved after the deadline", async () => {
    const harness = new ForwarderHarness();
    harness.reserveDelayMs = 8_500;
    await harness.request(LARGE, 400_000);
    await harness.clock.advance(15_000);
    expect(harness.sentTo).to.deep.equal([]);
    const count = (verb: string): number =>
      harness.memoryCalls.filter((call) => call.startsWith(verb)).length;
    expect(count("release")).to.equal(count("reserve"));
    expect(harness.memoryCalls.at(-1)).to.match(/^release/);
  });

  it("cuts a stream that is in progress", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, timeoutMs: TIMEOUT_MS }, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(TIMEOUT_MS + SLACK_MS);
    expect(harness.caller).to.include({ status: 200, ending: "cut" });
  });
});
