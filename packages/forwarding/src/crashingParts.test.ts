import { expect } from "chai";

import { SendState } from "./types.js";
import { endAnswer } from "./testing/FakeUpstreams.js";
import { ForwarderHarness, SAFE, STREAM } from "./testing/ForwarderHarness.js";
import { newUpstream } from "./testing/samples.js";

const TOKENS = 5_000;
/** Longer than an answer has to go on to show that its parts are sound. */
const SOUND_MS = 1_100;

const newHarness = (...parts: string[]): ForwarderHarness => {
  const harness = new ForwarderHarness();
  harness.sharedParts = parts;
  return harness;
};

const cut = async (harness: ForwarderHarness): Promise<void> => {
  harness.transport.last.observer.onError(SendState.Sent, new Error("connection closed"));
  await harness.settle();
};

const getSuspects = (harness: ForwarderHarness): string[] =>
  harness.guard.evidence.suspects.map(({ key }) => key);

describe("Forwarder: parts of prompts that crash upstreams", () => {
  const endings: readonly [
    string,
    readonly string[],
    (harness: ForwarderHarness) => Promise<void>,
  ][] = [
    ["before its first event", ["a", "b"], cut],
    [
      "soon after its first event",
      ["a", "b"],
      async (harness) => {
        harness.transport.startStream();
        harness.transport.sendEvents(1);
        await harness.clock.advance(SOUND_MS / 2);
        harness.transport.sendEvents(2);
        await cut(harness);
      },
    ],
    [
      "long after its first event",
      [],
      async (harness) => {
        harness.transport.startStream();
        for (let event = 1; event <= 5; event += 1) {
          harness.transport.sendEvents(event);
          await harness.clock.advance(SOUND_MS / 3);
        }
        await cut(harness);
      },
    ],
    [
      "inside an event of an answer without framing",
      ["a", "b"],
      (harness) => {
        harness.transport.startStream(["unframed", "1"]);
        harness.transport.last.observer.onData(Buffer.from("id: 1\ndata: x"));
        endAnswer(harness.transport.last);
        return harness.settle();
      },
    ],
    [
      "with its whole answer",
      [],
      (harness) => {
        harness.transport.startStream();
        harness.transport.sendEvents(1);
        endAnswer(harness.transport.last);
        return harness.settle();
      },
    ],
    [
      "with an answer that is another request's",
      [],
      (harness) => {
        harness.transport.answer(200, ["forged", "1"]);
        return harness.settle();
      },
    ],
    [
      "unsent",
      [],
      (harness) => {
        harness.transport.last.observer.onError(SendState.Unsent, new Error("refused"));
        return harness.settle();
      },
    ],
    ["when its caller leaves", [], (harness) => harness.disconnect()],
  ];
  for (const [name, expected, end] of endings) {
    it(`${expected.length > 0 ? "accuses" : "doesn't accuse"} the parts of a send that ends ${name}`, async () => {
      const harness = newHarness("a", "b");
      await harness.request(STREAM, TOKENS);
      await end(harness);
      expect(getSuspects(harness)).to.deep.equal(expected);
    });
  }

  // An answer without framing that ends between events may be one whose upstream crashed.
  it("doesn't take the end of a short answer without framing for that of a sound one", async () => {
    const harness = newHarness("a");
    harness.guard.evidence.recordLoss("u9", ["a"]);
    await harness.request(STREAM, TOKENS);
    harness.transport.startStream(["unframed", "1"]);
    harness.transport.sendEvents(1);
    endAnswer(harness.transport.last);
    await harness.settle();
    expect(harness.caller.ending).to.equal("cut");
    expect(getSuspects(harness)).to.deep.equal(["a"]);
  });

  // An answer of the next start showed the earlier one never lost, so that no part was ever suspect.
  it("keeps to the loss of an upstream that started again under its id and answers", async () => {
    const harness = newHarness("a");
    const start = (version: number, bornMs: number): void => {
      const upstreams = [newUpstream("u0", { bornMs })];
      harness.view.applyUpstreams({ version, upstreams }, 0, new Set());
    };
    start(2, 1_000);
    await harness.request(STREAM, TOKENS);
    await cut(harness);
    expect(getSuspects(harness)).to.deep.equal(["a"]);
    await harness.clock.advance(10);
    start(3, 2_000);
    harness.sharedParts = [];
    await harness.request(STREAM, TOKENS);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    expect(new Set(harness.sentTo)).to.deep.equal(new Set(["u0"]));
    expect(getSuspects(harness)).to.deep.equal(["a"]);
  });

  it("clears a suspect part once an answer on it has gone on", async () => {
    const harness = newHarness("a");
    harness.guard.evidence.recordLoss("u9", ["a"]);
    await harness.request(STREAM, TOKENS);
    harness.transport.startStream();
    harness.transport.sendEvents(1);
    await harness.clock.advance(SOUND_MS);
    harness.transport.sendEvents(2);
    expect(getSuspects(harness)).to.deep.equal([]);
  });

  it("resumes a sound request at another upstream while another part is suspect", async () => {
    const harness = newHarness("a");
    harness.guard.evidence.recordSound(["a"], 0);
    await harness.request(STREAM, TOKENS);
    await cut(harness);
    expect(harness.sentTo).to.have.length(2);
  });

  it("rejects a request with a blocked part at once, with the time of the next trial", async () => {
    const harness = newHarness("a", "bad");
    ["u7", "u8", "u9"].forEach((upstream) => {
      harness.guard.evidence.recordLoss(upstream, ["bad"]);
    });
    await harness.request(STREAM, TOKENS);
    expect(harness.sentTo).to.deep.equal([]);
    expect(harness.caller).to.include({ status: 503, body: "not run: prompt part bad is blocked" });
    expect(harness.caller.retryAfterMs).to.be.within(30_000, 45_000);
  });

  // Guards against a request that takes a second upstream with it, and one that is told that it hadn't run.
  it("doesn't send a request again that blocked its own part, and says that it may have run", async () => {
    const harness = newHarness("bad");
    ["u8", "u9"].forEach((upstream) => {
      harness.guard.evidence.recordLoss(upstream, ["bad"]);
    });
    await harness.request(STREAM, TOKENS);
    await cut(harness);
    expect(harness.sentTo).to.have.length(1);
    expect(harness.caller.status).to.equal(502);
  });

  it("lets requests without parts pass while others are blocked", async () => {
    const harness = newHarness();
    ["u7", "u8", "u9"].forEach((upstream) => {
      harness.guard.evidence.recordLoss(upstream, ["bad"]);
    });
    await harness.request(SAFE);
    expect(harness.sentTo).to.have.length(1);
  });

  it("keeps other requests away from the upstream of a trial", async () => {
    const harness = newHarness("bad");
    harness.guard.evidence.recordLoss("u9", ["bad"]);
    await harness.request(STREAM, TOKENS);
    const [trial] = harness.sentTo;
    const loads = harness.loadTracker.getLoads();
    expect([...loads].filter(([, load]) => load.apart > 0).map(([id]) => id)).to.deep.equal([
      trial,
    ]);
  });
});
