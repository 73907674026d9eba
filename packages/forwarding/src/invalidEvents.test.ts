import { PositionedEvents } from "@lycheepulley/core";
import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM } from "./testing/ForwarderHarness.js";

const ONCE: Partial<Route> = { ...STREAM, isResumable: false };
const event = (id: number | string): string => `id: ${String(id)}\ndata: x\n\n`;

/** Starts a stream of numbered events, of which the first `sent` arrive. */
const start = async (route: Partial<Route>, sent: number): Promise<ForwarderHarness> => {
  const harness = new ForwarderHarness();
  harness.dialect.events = new PositionedEvents();
  await harness.request(route, 5_000);
  harness.transport.startStream();
  send(harness, Array.from({ length: sent }, (_, at) => event(at + 1)).join(""));
  await harness.settle();
  return harness;
};

const send = ({ transport }: ForwarderHarness, text: string): void => {
  if (text !== "") {
    transport.last.observer.onData(Buffer.from(text, "latin1"));
  }
};

describe("Forwarder and events that are no part of the stream", () => {
  const garbage: readonly [name: string, text: string][] = [
    ["a block of bytes", "\x80\xffgarbage\n\n"],
    ["bytes without the end of a line", "\x80\xffgarbage"],
    ["a field that no event has", "size: 7\n"],
    ["an event without an id", "data: x\n\n"],
    ["an event with an empty id", event("")],
    ["an event again", event(2)],
    ["an event that goes back", event(1)],
    ["an event behind one that is left out", event(4)],
    ["bytes in an event", "id: 3\ndata: \x80\xff\n\n"],
  ];
  // Bytes that an upstream wrote into a stream, or in place of its framing, reached callers as events.
  for (const [name, text] of garbage) {
    it(`goes on elsewhere behind ${name}`, async () => {
      const harness = await start(STREAM, 2);
      send(harness, text + event(3));
      await harness.settle();
      expect(harness.caller.body).to.equal(event(1) + event(2));
      expect(harness.resumedAfter).to.equal("2");
      harness.transport.startStream();
      send(harness, event(3));
      endAnswer(harness.transport.last);
      await harness.settle();
      expect([harness.caller.body, harness.caller.ending]).to.deep.equal([
        event(1) + event(2) + event(3),
        "whole",
      ]);
    });

    it(`cuts a stream that may not be resumed at ${name}`, async () => {
      const harness = await start(ONCE, 2);
      send(harness, text + event(3));
      await harness.settle();
      const { body, ending } = harness.caller;
      expect([body, ending]).to.deep.equal([event(1) + event(2), "cut"]);
      expect(harness.sentTo.length).to.equal(1);
    });
  }

  // The first event is the right one there.
  for (const [name, text] of garbage.filter(([, bytes]) => bytes !== event(1))) {
    it(`asks elsewhere when ${name} comes in place of the first event`, async () => {
      const harness = await start(STREAM, 0);
      send(harness, text);
      await harness.settle();
      expect(harness.caller.isHeadSent).to.equal(false);
      expect(harness.sentTo.length).to.equal(2);
    });
  }

  it("passes the events on that arrive together with garbage, before it", async () => {
    const harness = await start(ONCE, 0);
    send(harness, `${event(1)}${event(2)}garbage\n\n${event(3)}`);
    await harness.settle();
    expect(harness.caller.body).to.equal(event(1) + event(2));
  });

  // Empty lines wait for the event behind them, and were missing where none followed.
  it("passes empty lines on that end a whole stream", async () => {
    const harness = await start(ONCE, 1);
    send(harness, "\r\n\n");
    expect(harness.caller.body).to.equal(event(1));
    endAnswer(harness.transport.last);
    await harness.settle();
    expect([harness.caller.body, harness.caller.ending]).to.deep.equal([
      `${event(1)}\r\n\n`,
      "whole",
    ]);
  });

  it("refuses a whole stream without an event", async () => {
    const harness = await start(ONCE, 0);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.status).to.equal(502);
  });

  // A success of another type, or another status, reached callers as a whole answer, whatever its bytes.
  for (const [status, type] of [
    [200, "plain"],
    [201, "stream"],
    [206, "stream"],
  ] as const) {
    it(`refuses ${String(status)} with a ${type} body on a route of streams`, async () => {
      const harness = new ForwarderHarness();
      await harness.request({ ...ONCE, maxAttempts: 1 }, 5_000);
      harness.transport.answer(status, [type, "1"], event(1));
      await harness.settle();
      expect([harness.caller.status, harness.caller.isOwn]).to.deep.equal([502, true]);
    });
  }

  it("takes events without ids on a route of plain calls", async () => {
    const harness = new ForwarderHarness();
    harness.dialect.events = new PositionedEvents();
    await harness.request(SAFE);
    harness.transport.answer(200, ["stream", "1"], "data: x\n\n");
    await harness.settle();
    expect([harness.caller.status, harness.caller.ending]).to.deep.equal([200, "whole"]);
  });

  it("takes a resumed stream that adds nothing for the end", async () => {
    const harness = await start(STREAM, 2);
    send(harness, "garbage\n\n");
    await harness.settle();
    harness.transport.startStream();
    endAnswer(harness.transport.last);
    await harness.settle();
    expect([harness.caller.body, harness.caller.ending]).to.deep.equal([
      event(1) + event(2),
      "whole",
    ]);
  });
});
