import { expect } from "chai";

import type { Route } from "./fleetConfig.js";
import { ForwarderHarness, SAFE, STREAM, UNSAFE } from "./testing/ForwarderHarness.js";
import { ENGINE, newItem } from "./testing/samples.js";

const ALL = ["u0", "u1", "u2"];
const DRAIN_MS = 7_500;
const LONG_PROMPT = 110_000;
const TARGET_MS = 3_000;
const REVIEW: Partial<Route> = { ...STREAM, targetMs: TARGET_MS, timeoutMs: 15_000 };
/** Time after which a prompt can't have its first event in time before the process ends. */
const REJECTED_BY_MS = DRAIN_MS - TARGET_MS;

/** Has other prompts take the KV memory of all upstreams. */
const fillMemory = (harness: ForwarderHarness): void => {
  ALL.forEach((upstream) => {
    harness.loadTracker.setOwn(newItem(`on ${upstream}`, { upstream, kvTokens: ENGINE.kvTokens }));
  });
};

describe("Forwarder: a process that ends before requests that it has read", () => {
  const waits: readonly {
    name: string;
    route: Partial<Route>;
    tokens: number;
    promisesRoom?: boolean;
    prepare: (harness: ForwarderHarness) => void;
  }[] = [
    {
      ...{ name: "KV memory", route: REVIEW, tokens: LONG_PROMPT },
      prepare: fillMemory,
    },
    {
      ...{ name: "KV memory that is promised", route: REVIEW, tokens: LONG_PROMPT },
      ...{ promisesRoom: true, prepare: fillMemory },
    },
    {
      ...{ name: "reservations", route: REVIEW, tokens: 2 * ENGINE.kvTokens },
      prepare: (harness) => {
        harness.reserveDelayMs = 20_000;
      },
    },
    {
      ...{ name: "reservations that fail", route: REVIEW, tokens: 2 * ENGINE.kvTokens },
      prepare: (harness) => {
        harness.hasMemory = false;
        harness.reserveDelayMs = 2_500;
      },
    },
    {
      ...{ name: "a limited upstream", route: { ...UNSAFE, targetMs: 9_000, timeoutMs: 9_500 } },
      tokens: 0,
      prepare: (harness) => {
        ALL.forEach((upstream) => {
          harness.limits.record({ upstream, perSecond: 0.13, sentMs: 0, receivedMs: 0 });
        });
      },
    },
  ];
  for (const { name, route, tokens, promisesRoom, prepare } of waits) {
    // Connections ended without an answer 7.5 s after the SIGTERM, though no upstream had the requests.
    it(`rejects a request that waits for ${name} while another process can serve it`, async () => {
      const harness = new ForwarderHarness(ALL, { promisesRoom });
      prepare(harness);
      await harness.request(route, tokens);
      await harness.clock.advance(700);
      expect(harness.caller.ending).to.equal("open");
      harness.startDrain(DRAIN_MS);
      await harness.clock.advance(REJECTED_BY_MS);
      expect(harness.sentTo).to.deep.equal([]);
      expect(harness.caller).to.include({ status: 503, isOwn: true });
      expect(harness.caller.retryAfterMs).to.be.at.most(100);
    });
  }

  it("sends a prompt whose memory becomes free in time", async () => {
    const harness = new ForwarderHarness(ALL);
    fillMemory(harness);
    await harness.request(REVIEW, LONG_PROMPT);
    harness.startDrain(DRAIN_MS);
    await harness.clock.advance(500);
    ALL.forEach((upstream) => {
      harness.loadTracker.removeOwn(`on ${upstream}`);
    });
    await harness.clock.advance(500);
    expect(harness.sentTo.length).to.equal(1);
  });

  it("looks for an upstream for a request that comes while there is little time left", async () => {
    const harness = new ForwarderHarness(ALL);
    harness.startDrain(DRAIN_MS);
    await harness.clock.advance(DRAIN_MS - 300);
    await harness.request(SAFE);
    expect(harness.sentTo.length).to.equal(1);
  });

  // Callers couldn't tell whether a request had run when the end of the process cut its connection.
  const sent: readonly { name: string; hasHead: boolean; seen: object }[] = [
    { name: "says that it may have run", hasHead: false, seen: { status: 502, isOwn: true } },
    { name: "cuts the answer", hasHead: true, seen: { status: 200, ending: "cut" } },
  ];
  for (const { name, hasHead, seen } of sent) {
    it(`${name} when a request that was sent isn't answered by the end`, async () => {
      const harness = new ForwarderHarness(ALL);
      await harness.request({ ...STREAM, targetMs: 60_000, timeoutMs: 60_000 });
      if (hasHead) {
        harness.transport.startStream();
        harness.transport.sendEvents(1);
      }
      harness.startDrain(DRAIN_MS);
      await harness.clock.advance(DRAIN_MS - 100);
      expect(harness.caller.ending).to.equal("open");
      await harness.clock.advance(100);
      expect(harness.caller).to.include(seen);
      expect(harness.transport.last.isAborted).to.equal(true);
    });
  }
});
