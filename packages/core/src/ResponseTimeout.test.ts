import { createClock } from "@sinonjs/fake-timers";
import { expect } from "chai";

import type { Clock } from "./clock.js";
import { callUntilAnswered, NoAnswerError, ResponseTimeout } from "./ResponseTimeout.js";

const BOUNDS = { minMs: 1_000, maxMs: 5_000 };
const LIMIT_MS = 6_000;

describe("ResponseTimeout", () => {
  const cases: readonly [name: string, tookMs: number[], from: number, to: number][] = [
    ["is the least before any answer", [], 1_000, 1_000],
    ["is the least for fast answers", [4, 5, 4], 1_000, 1_000],
    ["is above the time of slow answers", [1_200, 1_200, 1_200], 1_300, 5_000],
    ["is above that of the first slow answer after fast ones", [4, 4, 4, 4, 2_500], 2_501, 5_000],
    ["has a bound", [9_000, 9_000], 5_000, 5_000],
    ["falls again", [2_500, ...Array<number>(40).fill(4)], 1_000, 1_000],
  ];
  for (const [name, tookMs, from, to] of cases) {
    it(name, () => {
      const timeout = new ResponseTimeout(BOUNDS);
      tookMs.forEach((ms) => {
        timeout.observe(ms);
      });
      expect(timeout.ms).to.be.within(from, to);
    });
  }

  it("doubles while there is no answer, up to its bound", () => {
    const timeout = new ResponseTimeout(BOUNDS);
    const afterTimeouts = [0, 1, 2, 3].map(() => {
      timeout.onTimeout();
      return timeout.ms;
    });
    expect(afterTimeouts).to.deep.equal([2_000, 4_000, 5_000, 5_000]);
    timeout.observe(4);
    expect(timeout.ms).to.equal(1_000);
  });
});

describe("callUntilAnswered", () => {
  const timers = createClock(0);
  const clock: Clock = {
    now: () => timers.now,
    wall: () => timers.now,
    setTimer: (fn, ms) => {
      const id = timers.setTimeout(fn, Math.max(0, ms));
      return () => {
        timers.clearTimeout(id);
      };
    },
  };

  /** Calls a dependency whose calls take these times; null for one that is never answered. */
  const run = async (
    tookMs: readonly (number | Error | null)[],
  ): Promise<{ outcome: unknown; calls: number; ms: number; open: number }> => {
    const startMs = timers.now;
    let [calls, open, ms] = [0, 0, 0];
    let outcome: unknown;
    const call = (signal: AbortSignal): Promise<number> =>
      new Promise((resolve, reject) => {
        const took = tookMs[Math.min(calls, tookMs.length - 1)];
        const id = calls++;
        open += 1;
        signal.addEventListener("abort", () => {
          open -= 1;
          reject(new Error("aborted"));
        });
        if (took instanceof Error) {
          reject(took);
        } else if (typeof took === "number") {
          timers.setTimeout(() => {
            resolve(id);
          }, took);
        }
      });
    const timeout = new ResponseTimeout(BOUNDS);
    void callUntilAnswered(call, { clock, timeout, limitMs: LIMIT_MS })
      .catch((err: unknown) => err)
      .then((value: unknown) => {
        outcome = value;
        ms = timers.now - startMs;
      });
    await timers.tickAsync(2 * LIMIT_MS);
    return { outcome, calls, ms, open };
  };

  const cases: readonly [
    name: string,
    tookMs: (number | Error | null)[],
    expected: { outcome: unknown; calls: number; ms: number },
  ][] = [
    ["calls once when the answer comes in time", [4], { outcome: 0, calls: 1, ms: 4 }],
    // Guards against a dependency that is as good as none, as each call is given up too early.
    ["takes the answer of a slow dependency", [2_500], { outcome: 0, calls: 3, ms: 2_500 }],
    [
      "takes that of a later call when a connection is dead",
      [null, 4],
      { outcome: 1, calls: 2, ms: 1_004 },
    ],
  ];
  for (const [name, tookMs, expected] of cases) {
    it(name, async () => {
      expect(await run(tookMs)).to.deep.equal({ ...expected, open: 0 });
    });
  }

  it("takes an answer although a later call was refused", async () => {
    const { outcome, ms } = await run([2_500, new Error("too many calls")]);
    expect([outcome, ms]).to.deep.equal([0, 2_500]);
  });

  it("rejects with an error at once", async () => {
    const { outcome, ms } = await run([new Error("refused")]);
    expect([(outcome as Error).message, ms]).to.deep.equal(["refused", 0]);
  });

  it("gives up at the limit", async () => {
    const { outcome, ms, open } = await run([null]);
    expect(outcome).to.be.instanceOf(NoAnswerError);
    expect([ms, open]).to.deep.equal([LIMIT_MS, 0]);
  });
});
