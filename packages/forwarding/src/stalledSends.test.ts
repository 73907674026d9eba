import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { endAnswer, type FakeCall } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM } from "./testing/ForwarderHarness.js";

/** Longer than the time after which another upstream is tried for a stream. */
const STALL_MS = 1_700;
/** Right after another upstream is tried beside one that answers probes, or none. */
const SLOW_REPLACED_MS = 1_510;
const SILENT_REPLACED_MS = 720;

/** Starts a request whose upstream sends one event. */
const startAnswer = async (
  harness: ForwarderHarness,
  route: Partial<Route> = STREAM,
): Promise<void> => {
  await harness.request(route, 5_000);
  harness.transport.startStream();
  harness.transport.sendEvents(1);
};

/** Sends the second event and the end of an answer. */
const finishAnswer = async (
  harness: ForwarderHarness,
  call: FakeCall | undefined,
): Promise<void> => {
  call?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
  endAnswer(call);
  await harness.settle();
};

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
      await startAnswer(harness, { ...STREAM, maxAttempts: 1 });
      await harness.clock.advance(STALL_MS);
      expect(harness.caller.ending).to.equal("open");
      harness.transport.sendEvents(2);
      endAnswer(harness.transport.last);
      await harness.settle();
      expect(harness.caller).to.include({ ending: "whole" });
      expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    });
  }

  // Stalled streams whose upstream sent a comment now and then were never taken over.
  for (const comment of [": ping\n\n", "\n", ":"]) {
    it(`is replaced although it sends ${JSON.stringify(comment)} now and then`, async () => {
      const harness = new ForwarderHarness();
      await startAnswer(harness);
      const { observer } = harness.transport.last;
      for (let passedMs = 0; passedMs < STALL_MS; passedMs += 100) {
        observer.onData(Buffer.from(comment));
        await harness.clock.advance(100);
      }
      expect(harness.sentTo).to.have.length(2);
      expect(harness.resumedAfter).to.equal("1");
      expect(harness.caller.ending).to.equal("open");
    });
  }

  // Comments of an upstream without events must not end the send that has the caller's answer.
  it("goes on although its replacement sends comments", async () => {
    const harness = new ForwarderHarness();
    await startAnswer(harness);
    const [first] = harness.transport.calls;
    await harness.clock.advance(SLOW_REPLACED_MS);
    harness.transport.startStream();
    harness.transport.last.observer.onData(Buffer.from(": ping\n\n"));
    await finishAnswer(harness, first);
    expect(harness.caller).to.include({ ending: "whole" });
    expect(harness.caller.body).to.equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
  });

  // With the retry budget used up, silence ended streams that nothing could resume.
  it("is awaited while the retry budget is exhausted", async () => {
    const harness = new ForwarderHarness();
    harness.exhaustRetryBudget();
    await startAnswer(harness);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo.length).to.equal(1);
    harness.transport.sendEvents(2);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller).to.include({ ending: "whole" });
  });

  // A stream was given up for a resume at the same pool's only upstream, which could not take it.
  it("is awaited while no other upstream is available", async () => {
    const harness = new ForwarderHarness(["u0"]);
    await startAnswer(harness);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo).to.deep.equal(["u0"]);
    expect(harness.transport.last.isAborted).to.equal(false);
  });

  // A stream was lost when the upstream that should resume it rejected it, though the first one went on.
  for (const [name, isAlive] of deadOrAlive) {
    it(`goes on when it ${name} and the upstream that should take over rejects the request`, async () => {
      const harness = new ForwarderHarness();
      harness.isUpstreamAlive = isAlive;
      await startAnswer(harness);
      const [first] = harness.transport.calls;
      await harness.clock.advance(isAlive ? SLOW_REPLACED_MS : SILENT_REPLACED_MS);
      expect(harness.sentTo.length).to.equal(2);
      harness.transport.answer(503, ["not-run"]);
      await harness.settle();
      expect(harness.caller.ending).to.equal("open");
      await finishAnswer(harness, first);
      expect(harness.caller.ending).to.equal("whole");
      expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    });
  }

  // Two upstreams must never both write to one answer.
  it("wins over the upstream that should take over when its next event comes first", async () => {
    const harness = new ForwarderHarness();
    harness.isUpstreamAlive = false;
    await startAnswer(harness);
    const [first] = harness.transport.calls;
    await harness.clock.advance(STALL_MS);
    first?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
    await harness.settle();
    expect(harness.transport.last.isAborted).to.equal(true);
    harness.transport.startStream();
    harness.transport.sendEvents(2, 3);
    first?.observer.onData(Buffer.from("id: 3\ndata: x\n\n"));
    endAnswer(first);
    await harness.settle();
    expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2", "id: 3"]);
    expect(harness.caller.ending).to.equal("whole");
    expect(harness.loadTracker.own).to.deep.equal([]);
  });

  // A sound upstream was given up shortly after its replacement was opened, which then failed.
  const failures: readonly [name: string, fail: (harness: ForwarderHarness) => void][] = [
    [
      "breaks off",
      ({ transport }) => {
        transport.last.observer.onError("sent", new Error("reset"));
      },
    ],
    [
      "rejects the request late",
      ({ transport }) => {
        transport.answer(503, ["not-run"]);
      },
    ],
    [
      "can't be reached",
      ({ transport }) => {
        transport.last.observer.onError("unsent", new Error("refused"));
      },
    ],
    [
      "meets an error of this process",
      ({ dialect, transport }) => {
        dialect.readAnswer = () => {
          throw new Error("unexpected");
        };
        transport.startStream();
      },
    ],
  ];
  for (const [name, fail] of failures) {
    it(`goes on when it answers probes and its replacement ${name}`, async () => {
      const harness = new ForwarderHarness(["u0", "u1"]);
      await startAnswer(harness);
      const [first] = harness.transport.calls;
      await harness.clock.advance(STALL_MS);
      expect(harness.sentTo.length).to.equal(2);
      fail(harness);
      await harness.settle();
      expect(first?.isAborted).to.equal(false);
      await finishAnswer(harness, first);
      expect(harness.caller.ending).to.equal("whole");
    });
  }

  // In a busy fleet silence is mostly another prompt's prefill; work that went on twice made it busier.
  it("is awaited when it answers probes and has prompts to prefill", async () => {
    const harness = new ForwarderHarness();
    await startAnswer(harness);
    const [upstream = ""] = harness.sentTo;
    harness.addPrefill(upstream);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo.length).to.equal(1);
    expect(harness.transport.last.isAborted).to.equal(false);
  });

  // A slow caller was taken for a silent upstream.
  it("is no other than one whose answer waits for a slow caller", async () => {
    const harness = new ForwarderHarness();
    harness.caller.write = () => false;
    harness.caller.onDrain = () => undefined;
    await startAnswer(harness);
    await harness.clock.advance(STALL_MS);
    expect(harness.sentTo.length).to.equal(1);
  });

  // The load of a request that goes on at its first upstream was forgotten.
  it("keeps its load while no upstream takes over", async () => {
    const harness = new ForwarderHarness(["u0", "u1"]);
    harness.isUpstreamAlive = false;
    await startAnswer(harness);
    await harness.clock.advance(SILENT_REPLACED_MS);
    harness.transport.answer(503, ["not-run"]);
    await harness.settle();
    expect(harness.loadTracker.own.map(({ upstream }) => upstream)).to.deep.equal([
      harness.sentTo[0],
    ]);
  });

  const limits: readonly [name: string, maxAttempts: number][] = [
    ["two attempts", 2],
    ["three attempts", 3],
  ];
  for (const [name, maxAttempts] of limits) {
    // A retry was sent beside a replacement that was in flight or still reserved memory.
    it(`is followed by one send at a time with ${name}, also when it breaks off`, async () => {
      const harness = new ForwarderHarness(["u0", "u1", "u2", "u3", "u4", "u5"]);
      harness.isUpstreamAlive = false;
      await harness.request({ ...STREAM, maxAttempts, targetMs: 100 }, 300_000);
      await harness.clock.advance(50);
      harness.reserveDelayMs = 300;
      harness.transport.startStream();
      harness.transport.sendEvents(1);
      const [first] = harness.transport.calls;
      await harness.clock.advance(750);
      first?.observer.onError("sent", new Error("reset"));
      await harness.clock.advance(500);
      expect(harness.sentTo.length).to.equal(2);
    });
  }

  it("is ended once another upstream has taken over", async () => {
    const harness = new ForwarderHarness();
    harness.isUpstreamAlive = false;
    await startAnswer(harness);
    const [first] = harness.transport.calls;
    await harness.clock.advance(STALL_MS);
    expect(first?.isAborted).to.equal(false);
    harness.transport.startStream();
    harness.transport.sendEvents(2);
    expect(first?.isAborted).to.equal(true);
    first?.observer.onData(Buffer.from("id: 2\ndata: x\n\n"));
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.body.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    expect(harness.caller.ending).to.equal("whole");
  });

  // A request whose upstreams fell silent three times was taken for one that crashes them.
  it("counts as no crash of the request while it answers probes", async () => {
    const harness = new ForwarderHarness();
    for (let round = 0; round < 3; round++) {
      await startAnswer(harness);
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
    endAnswer(first);
    await harness.settle();
    expect(harness.caller).to.include({ status: 200, body: "body", ending: "whole" });
  });

  it("ends with the caller's disconnection, at both upstreams", async () => {
    const harness = new ForwarderHarness();
    await startAnswer(harness);
    await harness.clock.advance(STALL_MS);
    await harness.disconnect();
    expect(harness.transport.calls.map(({ isAborted }) => isAborted)).to.deep.equal([true, true]);
    expect(harness.loadTracker.own).to.deep.equal([]);
  });

  it("ends with the request's deadline, at both upstreams", async () => {
    const harness = new ForwarderHarness();
    await startAnswer(harness, { ...STREAM, timeoutMs: 3_000 });
    await harness.clock.advance(3_100);
    expect(harness.transport.calls.map(({ isAborted }) => isAborted)).to.deep.equal([true, true]);
    expect(harness.caller.ending).to.equal("cut");
  });

  describe("with a large answer without events", () => {
    const startLargeAnswer = async (harness: ForwarderHarness): Promise<void> => {
      await harness.request({ ...SAFE, timeoutMs: 5_000 });
      harness.transport.calls[0]?.observer.onHead({ status: 200, headers: ["seal"] });
      harness.transport.calls[0]?.observer.onData(Buffer.alloc(1_100_000, "x"));
    };

    // An answer that was on its way was cut, since it took longer than a silence may last.
    it("is not replaced while its data arrives", async () => {
      const harness = new ForwarderHarness();
      await startLargeAnswer(harness);
      for (let piece = 0; piece < 10; piece++) {
        await harness.clock.advance(60);
        harness.transport.last.observer.onData(Buffer.from("y"));
      }
      endAnswer(harness.transport.last);
      await harness.settle();
      expect(harness.sentTo.length).to.equal(1);
      expect(harness.caller.ending).to.equal("whole");
    });

    // A second upstream's events went into the answer of the first.
    it("is awaited once a part of it went to the caller", async () => {
      const harness = new ForwarderHarness();
      await startLargeAnswer(harness);
      await harness.clock.advance(2_000);
      expect(harness.sentTo.length).to.equal(1);
    });
  });

  // A send went on after its request had ended.
  it("leaves no send behind when the answer ends at the first upstream", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...SAFE, timeoutMs: 5_000 });
    const [first] = harness.transport.calls;
    await harness.clock.advance(310);
    expect(harness.sentTo.length).to.equal(2);
    first?.observer.onHead({ status: 200, headers: ["seal"] });
    endAnswer(first);
    await harness.settle();
    expect(harness.transport.last.isAborted).to.equal(true);
  });
});
