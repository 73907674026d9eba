import { getReadMs } from "@lycheepulley/forwarding";
import { createClock, type Clock as FakeTimers } from "@sinonjs/fake-timers";
import { expect } from "chai";

import { SAMPLE_SPEC as SPEC } from "./sampleSpec.js";
import { WorkerModel, type WorkerJob } from "./WorkerModel.js";

/** A worker model on a fake clock, which records when jobs are prefilled and emit tokens. */
class ModelHarness {
  readonly timers: FakeTimers = createClock(0);
  readonly model = new WorkerModel(SPEC, {
    now: () => this.timers.now,
    wall: () => this.timers.now,
    setTimer: (fn, ms) => {
      const id = this.timers.setTimeout(fn, ms);
      return () => {
        this.timers.clearTimeout(id);
      };
    },
  });
  readonly prefilledAt = new Map<string, number>();
  readonly events = new Map<string, number[]>();

  submit(id: string, tokens: number, fields: Partial<WorkerJob> = {}): boolean {
    return this.model.submit({
      ...{ id, promptTokens: tokens, partTokens: tokens, members: 1, outputTokens: 430 },
      ...{ kvTokens: tokens + 430, isHelper: false, urgency: 5 },
      onPrefilled: () => {
        this.prefilledAt.set(id, this.timers.now);
        this.model.startDecoding(id);
      },
      onTokens: () => {
        this.events.set(id, [...(this.events.get(id) ?? []), this.timers.now]);
      },
      ...fields,
    });
  }

  getLongestGap(id: string): number {
    const times = this.events.get(id) ?? [];
    return Math.max(...times.slice(1).map((time, at) => time - (times[at] ?? 0)));
  }
}

describe("WorkerModel", () => {
  for (const tokens of [5_000, 45_000, 133_000]) {
    it(`prefills ${String(tokens)} tokens in the time that placement expects`, () => {
      const harness = new ModelHarness();
      harness.submit("a", tokens);
      harness.timers.tick(5_000);
      const steps = Math.ceil(tokens / SPEC.chunkTokens) * SPEC.stepMs;
      expect(harness.prefilledAt.get("a")).to.be.closeTo(getReadMs(SPEC, tokens) + steps, 60);
    });
  }

  it("emits one event per pass", () => {
    const harness = new ModelHarness();
    harness.submit("a", 5_000);
    harness.timers.tick(2_000);
    expect(harness.events.get("a")?.length).to.equal(10);
    expect(harness.getLongestGap("a")).to.be.closeTo(45, 2);
    expect(harness.model.running).to.equal(0);
  });

  it("delays a decoding job by the whole prefill of a pass", () => {
    const harness = new ModelHarness();
    harness.submit("short", 5_000);
    harness.timers.tick(120);
    harness.submit("long", 60_000);
    harness.timers.tick(2_000);
    expect(harness.getLongestGap("short")).to.be.above(500);
  });

  it("prefills a helper's part before its own prompts", () => {
    const harness = new ModelHarness();
    harness.submit("own", 40_000);
    harness.submit("part", 133_000, {
      partTokens: 10_000,
      members: 13,
      isHelper: true,
      kvTokens: 0,
    });
    harness.timers.tick(3_000);
    expect(harness.prefilledAt.get("part")).to.be.below(harness.prefilledAt.get("own") ?? 0);
  });

  it("finishes both requests after memory ran out", () => {
    const harness = new ModelHarness();
    harness.submit("a", 200_000, { kvTokens: 200_000 });
    harness.timers.tick(4_500);
    harness.submit("b", 60_000, { kvTokens: 60_000 });
    harness.timers.tick(6_000);
    expect(harness.events.get("a")?.length).to.equal(10);
    expect(harness.events.get("b")?.length).to.equal(10);
  });

  // Guards against preemptions that free nothing, so that one large prompt preempted every answer.
  it("preempts no more requests than memory needs", () => {
    const harness = new ModelHarness();
    harness.submit("old", 80_000, { outputTokens: 8_600 });
    harness.submit("new", 80_000, { outputTokens: 8_600 });
    harness.timers.tick(2_500);
    harness.submit("large", 100_000, { outputTokens: 43 });
    expect(harness.model.preemptions).to.equal(1);
    expect(harness.model.kvUsed).to.be.at.most(SPEC.kvTokens);
    harness.timers.tick(30_000);
    expect([...harness.events.keys()].sort()).to.deep.equal(["large", "new", "old"]);
    expect(harness.model.running).to.equal(0);
    expect(harness.model.kvUsed).to.equal(0);
  });

  it("accepts no more requests than it has slots", () => {
    const harness = new ModelHarness();
    const accepted = Array.from({ length: 12 }, (_, at) => harness.submit(`r${String(at)}`, 1_000));
    expect(accepted.filter(Boolean).length).to.equal(11);
  });

  it("holds a reservation until it expires or is released, and extends it when it is renewed", () => {
    const harness = new ModelHarness();
    expect(harness.model.reserve("t1", 200_000, 1_000)).to.equal(true);
    expect(harness.model.reserve("t2", 100_000, 1_000)).to.equal(false);
    harness.timers.tick(900);
    expect(harness.model.reserve("t1", 200_000, 1_000)).to.equal(true);
    harness.timers.tick(900);
    expect(harness.model.reservationIds).to.deep.equal(["t1"]);
    harness.timers.tick(200);
    expect(harness.model.reserve("t2", 100_000, 1_000)).to.equal(true);
    harness.model.release("t2");
    expect(harness.model.kvUsed).to.equal(0);
  });
});
