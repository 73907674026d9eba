import { expect } from "chai";

import { getLookMs, getReplanMs } from "./pacing.js";
import { PROMISE_TERM_MS } from "./promise.js";

/** Share of a core that looks for room may take, with this time for each. */
const MAX_SHARE = 0.6;
const PLAN_MS = 0.5;

describe("load: prompts that wait for room at one process", () => {
  for (const waiting of [1, 8, 50, 200, 500]) {
    it(`renew their promises before these end: ${String(waiting)} wait`, () => {
      expect(getLookMs(waiting, { tokens: 100_000 })).to.be.below(PROMISE_TERM_MS);
    });

    it(`leave time for other work: ${String(waiting)} wait`, () => {
      let looksPerMs = 0;
      for (let before = 0; before < waiting; before++) {
        looksPerMs += 1 / getReplanMs(before);
      }
      expect(looksPerMs * PLAN_MS).to.be.below(MAX_SHARE);
    });
  }
});
