import { expect } from "chai";

import { OverloadControl } from "./OverloadControl.js";
import type { OverloadChange } from "./OverloadDetector.js";
import { TurnLoop } from "./testing/TurnLoop.js";

/** Time that events before the request take, of which the process takes no note. */
const OTHER_MS = 20;

describe("what a process knows of waits before it reads a request", () => {
  let loop: TurnLoop;
  let changes: OverloadChange[];
  let load: OverloadControl;

  beforeEach(() => {
    loop = new TurnLoop();
    changes = [];
    load = new OverloadControl({
      ...{ clock: loop, loop, random: { next: () => 0 } },
      observer: { onChange: (change) => changes.push(change) },
    });
  });

  // A request that waited behind others of its turn counted as one that had just come.
  it("counts the wait of an event from the first one of its turn", () => {
    expect(load.turns.getReadyMs()).to.equal(0);
    loop.advance(30);
    expect(load.turns.getReadyMs()).to.equal(0);
    loop.endTurn(10);
    expect(load.turns.getReadyMs()).to.equal(40);
  });

  const waits: readonly [name: string, turnMs: number, idleMs: number, possiblyMs: number][] = [
    ["right after another turn", 5, 0, 25],
    ["after a long turn", 300, 0, 320],
    ["after a pause of the loop", 5, 50, 20],
  ];
  for (const [name, turnMs, idleMs, possiblyMs] of waits) {
    // The wait of requests that came during another turn was unknown.
    it(`knows how long an event may have waited that is handled ${name}`, () => {
      loop.advance(1_000);
      load.turns.getWait();
      loop.endTurn(turnMs);
      loop.rest(idleMs);
      const { sinceMs, possiblySinceMs } = load.turns.getWait();
      expect(sinceMs).to.equal(loop.now());
      loop.advance(OTHER_MS);
      expect(loop.now() - possiblySinceMs).to.equal(possiblyMs);
    });
  }

  const runs: readonly [name: string, turns: readonly boolean[], waitMs: number][] = [
    ["after turns without any", [false, false, true], 0],
    ["in a row with others", [true, true, true], 20],
    ["after a turn without one", [true, true, false, true], 0],
  ];
  for (const [name, turns, waitMs] of runs) {
    // One connection is accepted in a turn, so that a queue of hundreds stayed unseen.
    it(`knows how long a connection may have waited that is accepted ${name}`, () => {
      const run = load.newAcceptRun();
      let sinceMs = NaN;
      for (const isAccepted of turns) {
        sinceMs = isAccepted ? run.accept() : NaN;
        loop.endTurn(10);
      }
      expect(loop.now() - 10 - sinceMs).to.equal(waitMs);
    });
  }

  const record = (waitsMs: readonly number[], gapMs: number): void => {
    for (const waitMs of waitsMs) {
      load.decide({ sinceMs: loop.now(), possiblySinceMs: loop.now() - waitMs });
      loop.advance(gapMs);
    }
  };

  const detections: readonly [name: string, waitsMs: readonly number[], isOverloaded: boolean][] = [
    ["short waits", Array<number>(50).fill(39), false],
    ["a burst", [...Array<number>(7).fill(90), ...Array<number>(20).fill(5)], false],
    ["bursts with pauses", Array.from({ length: 60 }, (_, at) => (at % 20 < 6 ? 70 : 2)), false],
    ["waits that are long for a tenth of a second", Array<number>(12).fill(70), true],
    [
      "long waits of one queue beside short ones of another",
      Array.from({ length: 24 }, (_, at) => (at % 2 === 0 ? 110 : 10)),
      true,
    ],
  ];
  for (const [name, waitsMs, isOverloaded] of detections) {
    it(`${isOverloaded ? "takes" : "doesn't take"} ${name} for an overload`, () => {
      record(waitsMs, 10);
      expect(load.isOverloaded).to.equal(isOverloaded);
      expect(changes.map((change) => change.isOverloaded)).to.deep.equal(
        isOverloaded ? [true] : [],
      );
    });
  }

  // On-call saw neither when an overload began nor when it was over.
  it("tells the end of an overload, its length and its longest wait", () => {
    record(Array<number>(20).fill(90), 10);
    loop.advance(1_000);
    loop.advance(1_000);
    expect(load.isOverloaded).to.equal(false);
    expect(changes).to.have.length(2);
    expect(changes[1]).to.include({ isOverloaded: false, ms: 190, maxWaitMs: 90 });
  });
});

describe("work that a process takes in", () => {
  const cases: readonly {
    name: string;
    waitMs: number;
    /** Waits of what came before, 10 ms apart. */
    beforeMs: readonly number[];
    isTaken: boolean;
  }[] = [
    { name: "is taken in when it hasn't waited", waitMs: 0, beforeMs: [], isTaken: true },
    { name: "is taken in with the wait of a burst", waitMs: 149, beforeMs: [], isTaken: true },
    { name: "is rejected after a longer wait", waitMs: 151, beforeMs: [], isTaken: false },
    {
      name: "is rejected after the wait of a burst in an overload",
      ...{ waitMs: 149, beforeMs: Array<number>(12).fill(60), isTaken: false },
    },
    {
      name: "is taken in after a short wait in an overload",
      ...{ waitMs: 19, beforeMs: Array<number>(12).fill(60), isTaken: true },
    },
  ];
  for (const { name, waitMs, beforeMs, isTaken } of cases) {
    // Work was taken in whatever it had waited, so that all of it was late.
    it(name, () => {
      const loop = new TurnLoop();
      const load = new OverloadControl({ clock: loop, loop, random: { next: () => 0 } });
      const decide = (ms: number): number | undefined => {
        const sinceMs = loop.now() - ms;
        return load.decide({ sinceMs, possiblySinceMs: sinceMs });
      };
      loop.advance(1_000);
      beforeMs.forEach((ms) => {
        decide(ms);
        loop.advance(10);
      });
      expect(decide(waitMs) === undefined).to.equal(isTaken);
    });
  }

  const returns: readonly [name: string, taken: number, rejected: number, retryMs: number][] = [
    ["soon beside few rejections", 100, 5, 250],
    ["after the time that the rejected ones take", 100, 200, 2_000],
    ["within some seconds beside many", 10, 1_000, 5_000],
  ];
  for (const [name, taken, rejected, retryMs] of returns) {
    // Callers came back together, while the process still had those before them to serve.
    it(`has rejected callers come back ${name}`, () => {
      const loop = new TurnLoop();
      const load = new OverloadControl({ clock: loop, loop, random: { next: () => 0 } });
      loop.advance(1_000);
      const late = { sinceMs: 0, possiblySinceMs: 0 };
      for (let count = 0; count < taken; count += 1) {
        load.decide({ sinceMs: loop.now(), possiblySinceMs: loop.now() });
      }
      const answers = Array.from({ length: rejected }, () => load.decide(late));
      expect(answers.at(-1)).to.equal(retryMs);
    });
  }
});

describe("a caller that may have left before its request is read", () => {
  const cases: readonly [name: string, turnsMs: readonly number[], idleMs: number, may: boolean][] =
    [
      ["came in a turn right after another", [5], 0, false],
      ["waited for a long turn", [300], 0, true],
      ["came after a pause, in which the process may have been frozen", [5], 50, true],
    ];
  for (const [name, turnsMs, idleMs, may] of cases) {
    // Requests on kept connections ran whose callers had left while the process was frozen.
    it(`is asked for when the request ${name}`, () => {
      const loop = new TurnLoop();
      const load = new OverloadControl({
        ...{ clock: loop, loop, random: { next: () => 0 } },
      });
      loop.advance(1_000);
      for (const ms of turnsMs) {
        load.turns.getWait();
        loop.endTurn(ms);
      }
      loop.rest(idleMs);
      loop.advance(OTHER_MS);
      expect(load.mayHaveLeft(undefined, load.turns.getWait())).to.equal(may);
    });
  }
});

describe("a freeze in the middle of a turn", () => {
  // It hid the wait of the requests of the next turn, whose callers had left meanwhile.
  it("has the callers of the next turn asked for", () => {
    const loop = new TurnLoop();
    const load = new OverloadControl({ clock: loop, loop, random: { next: () => 0 } });
    loop.advance(1_000);
    load.turns.getWait();
    loop.endTurn(5);
    loop.advance(300);
    load.turns.getWait();
    loop.endTurn(5);
    expect(load.mayHaveLeft(undefined, load.turns.getWait())).to.equal(true);
  });
});
