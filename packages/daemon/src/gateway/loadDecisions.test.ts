import { expect } from "chai";

import { LoadDecisionError, parseLoadDecisions } from "./loadDecisions.js";

describe("parseLoadDecisions", () => {
  const cases = [
    { list: "", expected: {} },
    { list: "costs", expected: { learnsCosts: true } },
    {
      list: "costs, room,shares,distance",
      expected: { learnsCosts: true, promisesRoom: true, sharesRoom: true, weighsDistance: true },
    },
  ];
  for (const { list, expected } of cases) {
    it(`reads "${list}"`, () => {
      expect(parseLoadDecisions(list)).to.deep.equal(expected);
    });
  }

  it("names a decision that doesn't exist, and those that do", () => {
    expect(() => parseLoadDecisions("costs,rooms")).to.throw(
      LoadDecisionError,
      /"rooms"; known: costs,room,shares,distance/,
    );
  });
});
