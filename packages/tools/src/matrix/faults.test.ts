import { expect } from "chai";

import { FAULTS, type FaultTarget } from "./faults.js";

/** Injects the poisonous prompt twice into the world of a new cell, and returns the texts sent. */
const poisonCell = (): string[] => {
  const texts: string[] = [];
  const process = {};
  const setTimer = (fn: () => void): void => {
    fn();
  };
  const target = {
    world: { clock: { setTimer }, liveProcesses: [process], poisonCount: 0 },
    caller: { send: ({ text }: { text: string }) => texts.push(text) },
    ...{ process, record: undefined },
  } as unknown as FaultTarget;
  FAULTS["poison request"]?.(target);
  FAULTS["poison request"]?.(target);
  return texts;
};

describe("poisonous prompts of the fault matrix", () => {
  // Guards against cells whose prompts, and so results, depend on the cells that ran before.
  it("are the same in every cell, and differ within one", () => {
    const first = poisonCell();
    expect(poisonCell()).to.deep.equal(first);
    expect(new Set(first).size).to.equal(2);
  });
});
