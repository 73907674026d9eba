import { expect } from "chai";

import { ForwarderHarness, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";

const fail = (): never => {
  throw new Error("unexpected");
};

describe("Forwarder: errors inside the process", () => {
  const cases: readonly [
    name: string,
    prepare: (harness: ForwarderHarness) => void,
    expected: { status: number; ending: string },
  ][] = [
    [
      "before anything is sent",
      ({ dialect }) => {
        dialect.newUpstreamHeaders = fail;
      },
      { status: 503, ending: "whole" },
    ],
    [
      "while the request is sent",
      ({ transport }) => {
        transport.open = fail;
      },
      { status: 502, ending: "whole" },
    ],
  ];
  // A request was left without an answer until its deadline, or its connection was closed without one.
  for (const [name, prepare, expected] of cases) {
    it(`answers a request at once after one ${name}`, async () => {
      const harness = new ForwarderHarness();
      prepare(harness);
      await harness.request(UNSAFE);
      expect(harness.caller).to.include({ ...expected, isOwn: true });
      expect(harness.loadTracker.own).to.deep.equal([]);
    });
  }

  it("answers a request at once when the head of its answer can't be handled", async () => {
    const harness = new ForwarderHarness();
    harness.dialect.readAnswer = fail;
    await harness.request(UNSAFE);
    harness.transport.answer(200, [], "body");
    await harness.settle();
    expect(harness.caller).to.include({ status: 502, isOwn: true, ending: "whole" });
  });

  it("ends a stream at once whose events can't be passed on", async () => {
    const harness = new ForwarderHarness();
    await harness.request({ ...STREAM, maxAttempts: 1 }, 5_000);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    harness.caller.write = fail;
    harness.transport.sendEvents(2);
    await harness.settle();
    expect(harness.caller.ending).to.equal("cut");
  });
});
