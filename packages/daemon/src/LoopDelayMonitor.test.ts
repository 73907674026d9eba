import type { Clock } from "@lycheepulley/core";
import { expect } from "chai";

import { LoopDelayMonitor } from "./LoopDelayMonitor.js";

/** Clock whose only timer a test fires. */
class OneTimerClock implements Clock {
  fire: () => void = () => undefined;

  now(): number {
    return 0;
  }

  wall(): number {
    return 0;
  }

  setTimer(fn: () => void): () => void {
    this.fire = fn;
    return () => undefined;
  }
}

describe("LoopDelayMonitor", () => {
  it("shows the same to two readers, and forgets a delay after two windows", () => {
    const clock = new OneTimerClock();
    const samples = {
      max: 55_000_000,
      reset: (): void => {
        samples.max = 0;
      },
      enable: () => true,
    };
    const monitor = new LoopDelayMonitor(clock, samples);
    monitor.start();
    expect([monitor.maxMs, monitor.maxMs]).to.deep.equal([50, 50]);
    clock.fire();
    expect([monitor.maxMs, monitor.maxMs]).to.deep.equal([50, 50]);
    clock.fire();
    expect(monitor.maxMs).to.equal(0);
  });
});
