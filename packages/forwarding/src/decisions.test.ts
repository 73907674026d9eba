import { expect } from "chai";

import { decideNext, type SendHistory, type SendOutcome } from "./outcomes.js";
import { RetryBudget } from "./RetryBudget.js";
import { RouteTable } from "./RouteTable.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newRoute } from "./testing/samples.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

describe("RouteTable: short gap objectives", () => {
  const cases: readonly [gapsMs: (number | undefined)[], shortGapMs: number][] = [
    [[200, 500, 800], 400],
    [[350, 900, 1_500], 725],
    [[250, 250], 0],
    [[undefined], 0],
  ];
  for (const [gapsMs, shortGapMs] of cases) {
    it(`are below ${String(shortGapMs)} ms among ${gapsMs.join(", ")}`, () => {
      const routes = gapsMs.map((maxGapMs, index) =>
        newRoute({ name: `r${String(index)}`, pathPrefix: `/${String(index)}/`, maxGapMs }),
      );
      const table = new RouteTable(newConfig({ routes }));
      expect(table.getShortGapMs("p")).to.be.closeTo(shortGapMs, 1);
    });
  }
});

describe("RouteTable", () => {
  const table = new RouteTable(
    newConfig({
      routes: [
        newRoute({ name: "root", pathPrefix: "/" }),
        newRoute({ name: "a", pathPrefix: "/a/" }),
        newRoute({ name: "ab", pathPrefix: "/a/b/" }),
        newRoute({ name: "other", host: "b.example", pathPrefix: "/a/" }),
      ],
      customers: [
        { name: "big", apiKeys: ["k1", "k2"] },
        { name: "small", apiKeys: ["k3"], priority: 0 },
      ],
    }),
  );
  const cases: readonly [host: string, path: string, route: string | undefined][] = [
    ["a.example", "/a/b/c", "ab"],
    ["a.example", "/a/b/", "ab"],
    ["a.example", "/a/b", "a"],
    ["a.example", "/a/bc", "a"],
    ["a.example", "/x?y=/a/b/", "root"],
    ["A.EXAMPLE", "/a/1", "a"],
    ["b.example", "/a/1", "other"],
    ["b.example", "/b/1", undefined],
    ["c.example", "/a/1", undefined],
  ];
  for (const [host, path, route] of cases) {
    it(`finds ${route ?? "nothing"} for ${host}${path}`, () => {
      expect(table.findRoute(host, path)?.name).to.equal(route);
    });
  }

  it("finds customers by each of their keys, and none by another key", () => {
    expect(["k1", "k2", "k3", "k4"].map((key) => table.findCustomer(key)?.name)).to.deep.equal([
      "big",
      "big",
      "small",
      undefined,
    ]);
  });
});

describe("decideNext", () => {
  const unsafe = newRoute({ maxAttempts: 2 });
  const safe = newRoute({ repeat: "idempotent" });
  const stream = newRoute({ isStream: true, isResumable: true });
  const plainStream = newRoute({ isStream: true });
  const once: SendHistory = {
    ...{ sends: 1, unsent: 0, inFlight: 0, mayHaveRun: true, timeLeftMs: 1_000 },
    ...{ canGoOn: true, trySpend: () => true },
  };
  const notRun = { ...once, mayHaveRun: false };
  const outcome = (result: SendOutcome["result"]): SendOutcome => ({ result, reason: "" });
  const failed: SendOutcome = {
    ...outcome("failed"),
    answer: { head: { status: 500, headers: [] }, body: Buffer.alloc(0) },
  };
  const cases: readonly [string, typeof unsafe, SendOutcome, SendHistory, string][] = [
    ["a delivered answer", safe, outcome("delivered"), once, "done"],
    ["a caller that disconnected", unsafe, outcome("cancelled"), once, "done"],
    [
      "a refused connection",
      unsafe,
      outcome("unsent"),
      { ...notRun, sends: 0, unsent: 1 },
      "retry",
    ],
    [
      "connections refused again and again",
      unsafe,
      outcome("unsent"),
      { ...notRun, unsent: 6 },
      "refuse",
    ],
    ["a request that an upstream didn't run", unsafe, outcome("not_run"), notRun, "retry"],
    [
      "a request that may not be sent again",
      unsafe,
      outcome("not_run"),
      { ...notRun, sends: 2 },
      "refuse",
    ],
    ["a broken at-most-once answer", unsafe, outcome("broken"), once, "fail"],
    ["a broken idempotent answer", safe, outcome("broken"), once, "retry"],
    ["a broken resumable stream", stream, outcome("broken"), once, "retry"],
    ["a broken plain stream", plainStream, outcome("broken"), once, "fail"],
    ["an upstream's failure of an at-most-once call", unsafe, failed, once, "deliver"],
    ["an upstream's failure of an idempotent call", safe, failed, once, "retry"],
    [
      "a part that no send can go on with",
      stream,
      outcome("doubtful"),
      { ...once, canGoOn: false },
      "fail",
    ],
    ["an exhausted budget", safe, failed, { ...once, trySpend: () => false }, "deliver"],
    [
      "an exhausted budget after a broken answer",
      safe,
      outcome("broken"),
      { ...once, trySpend: () => false },
      "fail",
    ],
    ["a passed deadline after a possible run", safe, outcome("timed_out"), once, "fail"],
    [
      "a passed deadline before any run",
      unsafe,
      outcome("timed_out"),
      { ...notRun, sends: 0 },
      "refuse",
    ],
    ["too little time for a retry", safe, outcome("broken"), { ...once, timeLeftMs: 10 }, "fail"],
    [
      "a request not run, after a possible run",
      safe,
      outcome("not_run"),
      { ...once, sends: 2 },
      "fail",
    ],
  ];
  for (const [name, route, sent, history, expected] of cases) {
    it(`answers ${name} with ${expected}`, () => {
      expect(decideNext(route, sent, history)).to.equal(expected);
    });
  }
});

describe("RetryBudget", () => {
  const limits = { ratio: 0.2, windowMs: 10_000, slack: 100 };

  it("keeps the retries of all processes within the limit when every request fails", async () => {
    const clock = new ManualClock();
    const processes = Array.from(
      { length: 6 },
      () => new RetryBudget({ clock, limits, getProcessCount: () => 6 }),
    );
    const sends: { atMs: number; isRetry: boolean }[] = [];
    for (let second = 0; second < 30; second++) {
      for (const window of processes) {
        for (let i = 0; i < 10; i++) {
          window.addRequest("p");
          sends.push({ atMs: clock.now(), isRetry: false });
          if (window.trySpend("p")) {
            sends.push({ atMs: clock.now(), isRetry: true });
          }
        }
      }
      await clock.advance(1_000);
    }
    for (let from = 0; from < 20_000; from += 500) {
      const inWindow = sends.filter(({ atMs }) => atMs >= from && atMs < from + limits.windowMs);
      const retries = inWindow.filter(({ isRetry }) => isRetry).length;
      expect(retries).to.be.at.most(0.2 * (inWindow.length - retries) + limits.slack);
    }
  });

  it("restores the budget after the window", async () => {
    const clock = new ManualClock();
    const window = new RetryBudget({ clock, limits, getProcessCount: () => 10 });
    let spent = 0;
    while (window.trySpend("p")) {
      spent += 1;
    }
    await clock.advance(10_001);
    expect(spent).to.equal(7);
    expect(window.trySpend("p")).to.equal(true);
  });
});

describe("UpstreamHealth", () => {
  it("ejects an unreachable upstream, longer each time, until it answers", async () => {
    const clock = new ManualClock();
    const health = new UpstreamHealth(clock);
    expect(health.record("a", "unreachable")).to.equal(true);
    expect(health.isEjected("a")).to.equal(true);
    await clock.advance(501);
    expect(health.isEjected("a")).to.equal(false);
    health.record("a", "unreachable");
    await clock.advance(600);
    expect(health.isEjected("a")).to.equal(true);
    await clock.advance(500);
    health.record("a", "good");
    expect(health.isEjected("a")).to.equal(false);
  });

  // Guards against short ejections of an upstream that stays unreachable: a failure during an
  // ejection took the length back to its first value.
  it("goes on doubling after a failure during an ejection", async () => {
    const clock = new ManualClock();
    const health = new UpstreamHealth(clock);
    const ejectionsMs = [500, 1_000, 2_000, 4_000, 4_000];
    for (const ejectionMs of ejectionsMs) {
      expect(health.record("a", "unreachable")).to.equal(true);
      await clock.advance(1);
      expect(health.record("a", "unreachable")).to.equal(false);
      await clock.advance(Math.max(ejectionMs - 2, 499));
      expect(health.isEjected("a")).to.equal(true);
      await clock.advance(2);
      expect(health.isEjected("a")).to.equal(false);
    }
  });

  it("never ejects more than half of a pool", () => {
    const health = new UpstreamHealth(new ManualClock());
    const pool = ["a", "b", "c", "d"].map((id) => ({ id }));
    health.record("a", "unreachable");
    health.record("b", "unreachable");
    expect(health.selectActive(pool).map(({ id }) => id)).to.deep.equal(["c", "d"]);
    health.record("c", "unreachable");
    expect(health.selectActive(pool)).to.equal(pool);
  });

  it("detects an upstream that is reachable but answers with errors", () => {
    const health = new UpstreamHealth(new ManualClock());
    for (let i = 0; i < 20; i++) {
      health.record("failing", i % 2 === 0 ? "failed" : "good");
      health.record("healthy", "good");
    }
    expect(health.getFailureRate("failing")).to.be.above(0.35);
    expect(health.getFailureRate("healthy")).to.equal(0);
  });
});
