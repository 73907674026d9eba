import { AnswerEnd, Closing, Framing } from "@lycheepulley/core";
import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";
import { SendState } from "./types.js";

const ONCE: Partial<Route> = { ...STREAM, isResumable: false };
const CUT = { end: AnswerEnd.Cut, framing: Framing.None, closing: Closing.Reset };

/** Sends a request whose stream ends in order after its first event, without framing. */
const endUnframed = async (
  harness: ForwarderHarness,
  route: Partial<Route> = STREAM,
): Promise<ForwarderHarness> => {
  await harness.request(route, 5_000);
  harness.transport.startStream(["unframed"]);
  harness.transport.sendEvents(1);
  endAnswer(harness.transport.last);
  await harness.settle();
  return harness;
};

describe("Forwarder: answers that end with their connection", () => {
  // A part of a stream was told as all of it, in chunks, when nobody went on with it.
  const unresumed: readonly {
    name: string;
    route: Partial<Route>;
    prepare?: (harness: ForwarderHarness) => void;
  }[] = [
    { name: "that nobody may resume, whose upstream lives on", route: ONCE },
    {
      ...{ name: "that nobody may resume, whose upstream has ended", route: ONCE },
      prepare: (harness) => (harness.isUpstreamAlive = false),
    },
    {
      ...{ name: "when the retry budget is spent", route: STREAM },
      prepare: (harness) => {
        harness.exhaustRetryBudget();
      },
    },
    { name: "when all attempts are used", route: { ...STREAM, maxAttempts: 1 } },
  ];
  for (const { name, route, prepare } of unresumed) {
    it(`cuts a stream ${name}`, async () => {
      const harness = new ForwarderHarness();
      prepare?.(harness);
      await endUnframed(harness, route);
      expect(harness.caller.ending).to.equal("cut");
      expect(harness.sentTo.length).to.equal(1);
      expect(harness.isBlocked).to.equal(false);
    });
  }

  it("cuts a stream that its only upstream doesn't confirm", async () => {
    const harness = await endUnframed(new ForwarderHarness(["u0"]));
    expect(harness.sentTo).to.deep.equal(["u0", "u0"]);
    await harness.clock.advance(30_000);
    expect(harness.caller.ending).to.equal("cut");
  });

  for (const isAlive of [true, false]) {
    it(`resumes a stream whose upstream ${isAlive ? "lives on" : "has ended"}`, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await endUnframed(harness);
      expect(harness.caller.ending).to.equal("open");
      expect(harness.resumedAfter).to.equal("1");
      expect(harness.isBlocked).to.equal(false);
    });
  }

  // Only an upstream that goes on after the last event, and whose own end is known, shows what the end was.
  const seconds: readonly [
    name: string,
    ending: "whole" | "cut",
    run: (harness: ForwarderHarness) => unknown,
  ][] = [
    [
      "adds nothing",
      "whole",
      ({ transport }) => {
        transport.startStream();
        endAnswer(transport.last);
      },
    ],
    [
      "adds the rest",
      "whole",
      ({ transport }) => {
        transport.startStream();
        transport.sendEvents(2, 3);
        endAnswer(transport.last);
      },
    ],
    [
      "adds nothing, and closes without framing",
      "cut",
      ({ transport }) => {
        transport.startStream(["unframed"]);
        endAnswer(transport.last);
      },
    ],
    [
      "adds an event, and closes without framing",
      "cut",
      ({ transport }) => {
        transport.startStream(["unframed"]);
        transport.sendEvents(2);
        endAnswer(transport.last);
      },
    ],
    [
      "adds an event, and breaks off",
      "cut",
      ({ transport }) => {
        transport.startStream();
        transport.sendEvents(2);
        transport.last.observer.onError(SendState.Sent, new Error("reset"));
      },
    ],
    [
      "adds nothing, and is reset together with its data",
      "cut",
      ({ transport }) => {
        transport.startStream(["unframed"]);
        transport.last.observer.onEnd(CUT);
      },
    ],
    [
      "answers another request",
      "cut",
      ({ transport }) => {
        transport.answer(200, ["forged"]);
      },
    ],
    [
      "answers 500",
      "cut",
      ({ transport }) => {
        transport.answer(500);
      },
    ],
    [
      "refuses",
      "cut",
      ({ transport }) => {
        transport.answer(503, ["not-run"]);
      },
    ],
    ["stays silent until the deadline", "cut", ({ clock }) => clock.advance(30_000)],
    [
      "is at work when the process leaves",
      "cut",
      (harness) => {
        harness.startDrain(1_000);
        return harness.clock.advance(2_000);
      },
    ],
  ];
  for (const [name, ending, run] of seconds) {
    it(`${ending === "cut" ? "cuts" : "ends"} a stream in doubt when the last upstream ${name}`, async () => {
      const harness = await endUnframed(new ForwarderHarness(["u0", "u1"]));
      await run(harness);
      await harness.settle();
      expect(harness.caller.ending).to.equal(ending);
      expect(harness.sentTo.length).to.equal(2);
    });
  }

  // The part was told as whole after a second, while the second upstream read a long prompt.
  it("waits for an upstream that reads for long before it adds events", async () => {
    const harness = await endUnframed(new ForwarderHarness(["u0", "u1"]));
    await harness.clock.advance(2_500);
    expect(harness.caller.ending).to.equal("open");
    harness.transport.startStream();
    harness.transport.sendEvents(2);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.ending).to.equal("whole");
  });

  // A pool's habit shows nothing of one answer.
  it("cuts a stream in doubt also where all answers are unframed", async () => {
    const harness = new ForwarderHarness();
    for (let answers = 0; answers < 6; answers++) {
      await harness.request(UNSAFE);
      harness.transport.answer(200, ["unframed"], "all");
      await harness.settle();
    }
    harness.caller.ending = "open";
    await endUnframed(harness, ONCE);
    expect(harness.caller.ending).to.equal("cut");
  });

  // A part of an answer would reach the caller as all of it.
  const calls: readonly {
    name: string;
    route: Partial<Route>;
    status?: number;
    headers?: readonly string[];
    isAlive?: boolean;
    seen: { status: number | undefined; ending: string };
    sends: number;
  }[] = [
    {
      ...{ name: "says that a call may have run whose upstream lives on", route: UNSAFE },
      ...{ seen: { status: 502, ending: "whole" }, sends: 1 },
    },
    {
      ...{ name: "says that a call may have run whose upstream has ended", route: UNSAFE },
      ...{ isAlive: false, seen: { status: 502, ending: "whole" }, sends: 1 },
    },
    {
      ...{ name: "repeats a safe call whose upstream lives on", route: SAFE },
      ...{ seen: { status: undefined, ending: "open" }, sends: 2 },
    },
    {
      ...{ name: "repeats a safe call whose upstream has ended", route: SAFE, isAlive: false },
      ...{ seen: { status: undefined, ending: "open" }, sends: 2 },
    },
    {
      ...{ name: "passes no error answer on whose end is in doubt", route: UNSAFE, status: 500 },
      ...{ seen: { status: 502, ending: "whole" }, sends: 1 },
    },
    {
      ...{ name: "takes the head's word that a call didn't run", route: UNSAFE, status: 503 },
      ...{ headers: ["not-run"], seen: { status: undefined, ending: "open" }, sends: 2 },
    },
  ];
  for (const { name, route, status = 200, headers = [], isAlive = true, seen, sends } of calls) {
    it(name, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(route);
      harness.transport.answer(status, ["unframed", ...headers], "part");
      await harness.settle();
      expect(harness.caller).to.include(seen);
      expect(harness.sentTo.length).to.equal(sends);
    });
  }

  for (const isAlive of [true, false]) {
    it(`cuts a large answer whose upstream ${isAlive ? "lives on" : "has ended"}`, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await harness.request(UNSAFE);
      const { observer } = harness.transport.last;
      observer.onHead({ status: 200, headers: ["unframed"] });
      observer.onData(Buffer.alloc(2_000_000));
      endAnswer(harness.transport.last);
      await harness.settle();
      expect(harness.caller).to.include({ status: 200, ending: "cut" });
    });
  }

  // A part was told as all of it, since its head says that nothing ran.
  const unsaid: readonly [name: string, route: Partial<Route>, headers: string[], body: string][] =
    [
      ["stream", ONCE, ["stream", "1"], "id: 1\ndata: x\n\n"],
      ["resumable stream", STREAM, ["stream", "1"], "id: 1\ndata: x\n\n"],
      ["large answer", UNSAFE, [], "x".repeat(2_000_000)],
    ];
  for (const [name, route, headers, body] of unsaid) {
    it(`doesn't end a ${name} with 200 by its head's word that it didn't run`, async () => {
      const harness = new ForwarderHarness();
      await harness.request(route, 5_000);
      harness.transport.answer(200, ["unframed", "not-run", ...headers], body);
      await harness.settle();
      expect(harness.caller.ending).to.equal(route === STREAM ? "open" : "cut");
    });
  }

  // Another upstream began anew behind the part that the caller had, and the whole was told as one answer.
  const unresumable: readonly [name: string, route: Partial<Route>, events: string][] = [
    ["a stream whose events have no ids", STREAM, "data: x\n\n"],
    ["a stream whose last event has no id", STREAM, "id: 1\ndata: x\n\ndata: y\n\n"],
    ["a stream whose last event has an empty id", STREAM, "id: 1\ndata: x\n\nid:\ndata: y\n\n"],
    ["events on a route of plain calls", SAFE, "id: 1\ndata: x\n\n"],
  ];
  for (const [name, route, events] of unresumable) {
    it(`cuts ${name}`, async () => {
      const harness = new ForwarderHarness();
      await harness.request(route, 5_000);
      harness.transport.answer(200, ["unframed", "stream", "1"], events);
      await harness.settle();
      expect(harness.caller.ending).to.equal("cut");
      expect(harness.sentTo.length).to.equal(1);
    });
  }

  it("doesn't replace a silent upstream whose last event has no id", async () => {
    const harness = new ForwarderHarness();
    await harness.request(STREAM, 5_000);
    harness.transport.startStream();
    harness.transport.last.observer.onData(Buffer.from("data: x\n\n"));
    await harness.clock.advance(5_000);
    expect(harness.sentTo.length).to.equal(1);
  });

  it("cuts a large answer to a call that may be repeated, and doesn't repeat it", async () => {
    const harness = new ForwarderHarness();
    await harness.request(SAFE);
    harness.transport.answer(200, ["unframed"], "x".repeat(2_000_000));
    await harness.settle();
    expect(harness.caller.ending).to.equal("cut");
    expect(harness.sentTo.length).to.equal(1);
  });
});
