import { expect } from "chai";
import fc from "fast-check";

import { ProcessLifecycle, ProcessState } from "./ProcessLifecycle.js";

const TIMES = { listenMs: 3_200, drainMs: 7_500, closeMs: 150 };
const STATES: readonly ProcessState[] = Object.values(ProcessState);

describe("ProcessLifecycle", () => {
  const cases: readonly {
    name: string;
    /** Times since the start of the drain, with what is in progress then. */
    steps: readonly (readonly [nowMs: number, inProgress: number])[];
    state: ProcessState;
  }[] = [
    {
      name: "accepts connections while callers may know its address",
      state: ProcessState.Leaving,
      steps: [[3_199, 0]],
    },
    {
      name: "then accepts none, though nothing is in progress",
      state: ProcessState.Draining,
      steps: [[3_200, 0]],
    },
    {
      name: "waits for what is in progress",
      state: ProcessState.Draining,
      steps: [
        [3_200, 1],
        [7_499, 1],
      ],
    },
    {
      name: "takes nothing more once nothing is in progress",
      state: ProcessState.Closing,
      steps: [
        [3_200, 1],
        [3_250, 0],
      ],
    },
    {
      name: "takes nothing more once its time is over",
      state: ProcessState.Closing,
      steps: [
        [3_200, 1],
        [7_500, 1],
      ],
    },
    {
      name: "waits for answers that are being written",
      state: ProcessState.Closing,
      steps: [
        [3_200, 0],
        [3_250, 0],
        [3_399, 1],
      ],
    },
    {
      name: "exits once they are written",
      state: ProcessState.Stopped,
      steps: [
        [3_200, 0],
        [3_250, 0],
        [3_260, 0],
      ],
    },
    {
      name: "exits in time with answers that nobody reads",
      state: ProcessState.Stopped,
      steps: [
        [3_200, 0],
        [3_250, 0],
        [3_400, 1],
      ],
    },
    {
      name: "passes one state at a time, however late it is asked",
      state: ProcessState.Draining,
      steps: [[60_000, 0]],
    },
  ];
  for (const { name, steps, state } of cases) {
    it(name, () => {
      const lifecycle = new ProcessLifecycle();
      lifecycle.leave(0, TIMES);
      steps.forEach(([nowMs, inProgress]) => lifecycle.advance(nowMs, inProgress));
      expect(lifecycle.state).to.equal(state);
    });
  }

  it("drains once, by the times of the first signal", () => {
    const lifecycle = new ProcessLifecycle();
    expect(lifecycle.leave(0, TIMES)).to.equal(true);
    expect(lifecycle.leave(2_000, TIMES)).to.equal(false);
    expect(lifecycle.endAtMs).to.equal(TIMES.drainMs);
  });

  it("stays as it is until it drains", () => {
    const lifecycle = new ProcessLifecycle();
    expect(lifecycle.advance(1_000_000, 0)).to.equal(ProcessState.Serving);
    expect(lifecycle.endAtMs).to.equal(Infinity);
  });

  // Something that began in the moment between two of the earlier decisions was cut.
  it("never goes back, tells each listener once, and ends in time, whatever the load", () => {
    const step = fc.tuple(fc.integer({ min: 0, max: 2_000 }), fc.integer({ min: 0, max: 2 }));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), fc.nat({ max: 20 }), (steps, leaveAt) => {
        const lifecycle = new ProcessLifecycle();
        const told: ProcessState[] = [];
        STATES.forEach((state) => lifecycle.on(state, () => told.push(state)));
        const seen: ProcessState[] = [];
        let nowMs = 0;
        steps.forEach(([ms, inProgress], index) => {
          nowMs += ms;
          if (index === leaveAt) {
            lifecycle.leave(nowMs, TIMES);
          }
          const before = lifecycle.state;
          const state = lifecycle.advance(nowMs, inProgress);
          if (before === ProcessState.Draining && state === ProcessState.Closing) {
            expect(inProgress === 0 || nowMs >= lifecycle.leftAtMs + TIMES.drainMs).to.equal(true);
          }
          seen.push(state);
        });
        const ranks = seen.map((state) => STATES.indexOf(state));
        expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b));
        expect(told).to.deep.equal(STATES.slice(0, STATES.indexOf(lifecycle.state) + 1));
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
