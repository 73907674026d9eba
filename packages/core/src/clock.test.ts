import { expect } from "chai";

import { SystemClock, toTimerMs } from "./clock.js";

const MAX_TIMER_MS = 2_147_483_647;

// Guards against requests that fail because the time left for them isn't a whole number that timers take.
describe("toTimerMs", () => {
  for (const [ms, expected] of [
    [0, 1],
    [-5, 1],
    [-Infinity, 1],
    [NaN, 1],
    [0.25, 1],
    [1_234.5, 1_235],
    [2_000, 2_000],
    [MAX_TIMER_MS + 0.5, MAX_TIMER_MS],
    [Infinity, MAX_TIMER_MS],
  ] as const) {
    it(`makes ${String(expected)} of ${String(ms)}`, () => {
      expect(toTimerMs(ms)).to.equal(expected);
      expect(() => AbortSignal.timeout(toTimerMs(ms))).not.to.throw();
    });
  }

  it("keeps a timer without end from firing at once", async () => {
    let hasFired = false;
    const cancel = new SystemClock().setTimer(() => {
      hasFired = true;
    }, Infinity);
    await new Promise((resolve) => setTimeout(resolve, 20));
    cancel();
    expect(hasFired).to.equal(false);
  });
});
