import { AnswerFault, PositionedEvents } from "@lycheepulley/core";
import { expect } from "chai";

import { ForwarderHarness, STREAM } from "../testing/ForwarderHarness.js";
import { SendState } from "../types.js";

const TOKENS = 5_000;
const REQUESTS = 4;

type Answer = (harness: ForwarderHarness) => void;

const refuse = ({ transport }: ForwarderHarness, fault: AnswerFault): void => {
  transport.last.observer.onError(SendState.Sent, new Error("Parse Error"), fault);
};

const answers: readonly [name: string, answer: Answer][] = [
  [
    "bytes in place of a head",
    (harness) => {
      refuse(harness, AnswerFault.Head);
    },
  ],
  [
    "bytes in place of framing",
    (harness) => {
      harness.transport.startStream();
      refuse(harness, AnswerFault.Framing);
    },
  ],
  [
    "bytes in place of an event",
    (harness) => {
      harness.transport.startStream();
      harness.transport.last.observer.onData(Buffer.from("garbage\n\n"));
    },
  ],
];

/** Sends equal requests, and has each send end with the answer. */
const play = async (answer: Answer, isUpstreamAlive: boolean): Promise<ForwarderHarness> => {
  const harness = new ForwarderHarness(["u0", "u1", "u2", "u3"]);
  harness.dialect.events = new PositionedEvents();
  harness.sharedParts = ["a"];
  harness.isUpstreamAlive = isUpstreamAlive;
  for (let sent = 0; sent < REQUESTS; sent += 1) {
    await harness.request({ ...STREAM, maxAttempts: 1 }, TOKENS);
    answer(harness);
    await harness.settle();
  }
  return harness;
};

const getSuspects = ({ guard }: ForwarderHarness): string[] =>
  guard.evidence.suspects.map(({ key }) => key).sort();

describe("Forwarder: answers that aren't one, and the evidence of crashes", () => {
  for (const [name, answer] of answers) {
    // A request was refused, and parts of its prompt suspected, when workers that live on answered it with garbage.
    it(`accuse nothing when an upstream that lives on sends ${name}`, async () => {
      const harness = await play(answer, true);
      expect(harness.sentTo).to.have.length(REQUESTS);
      expect(getSuspects(harness)).to.deep.equal([]);
    });

    it(`accuse request and parts when an upstream that is gone sent ${name}`, async () => {
      const harness = await play(answer, false);
      expect(getSuspects(harness)).to.include("a");
    });
  }
});
