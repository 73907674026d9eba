import { expect } from "chai";

import { AnswerAssembler, type AnswerChunk } from "./answerStream.js";

const chunk = (seq: number, attemptId = "a1", finishReason?: string): AnswerChunk => ({
  attemptId,
  seq,
  text: String(seq),
  finishReason,
});

const CASES = [
  { name: "in order", chunks: [chunk(0), chunk(1)], text: "01", isComplete: false },
  {
    name: "swapped",
    chunks: [chunk(1), chunk(0), chunk(2, "a1", "stop")],
    text: "012",
    isComplete: true,
  },
  {
    name: "repeated",
    chunks: [chunk(0), chunk(0), chunk(1, "a1", "stop")],
    text: "01",
    isComplete: true,
  },
  {
    name: "of an old attempt",
    chunks: [chunk(0), chunk(1, "a0"), chunk(1)],
    text: "01",
    isComplete: false,
  },
  {
    name: "end before its turn",
    chunks: [chunk(0), chunk(2, "a1", "stop")],
    text: "0",
    isComplete: false,
  },
  {
    name: "after the end",
    chunks: [chunk(0, "a1", "stop"), chunk(1)],
    text: "0",
    isComplete: true,
  },
];

describe("AnswerAssembler", () => {
  for (const { name, chunks, text, isComplete } of CASES) {
    it(`releases chunks ${name}`, () => {
      const assembler = new AnswerAssembler();
      assembler.beginAttempt("a1");
      const released = chunks.flatMap((c) => assembler.push(c));
      expect(released.map((c) => c.text).join("")).to.equal(text);
      expect(assembler.finishReason !== undefined).to.equal(isComplete);
    });
  }

  it("continues a resumed answer where the last attempt stopped", () => {
    const assembler = new AnswerAssembler();
    assembler.beginAttempt("a1");
    assembler.push(chunk(0));
    assembler.push(chunk(2));
    assembler.beginAttempt("a2");
    expect(assembler.nextSeq).to.equal(1);
    expect(assembler.push(chunk(2))).to.have.length(0);
    expect(assembler.push(chunk(1, "a2"))).to.have.length(1);
  });
});
