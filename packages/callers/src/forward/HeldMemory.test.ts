import type { Clock } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { createClock } from "@sinonjs/fake-timers";
import { expect } from "chai";

import { getHeldLimitBytes, HeldMemory, type HeldRequest } from "./HeldMemory.js";

const LIMIT_BYTES = 1_000;

/** Requests on a simulated clock, with callers that take bytes when told to. */
class Harness {
  readonly #timers = createClock(0);
  readonly #clock: Clock = {
    now: () => this.#timers.now,
    wall: () => this.#timers.now,
    setTimer: (fn, ms) => {
      const id = this.#timers.setTimeout(fn, ms);
      return () => {
        this.#timers.clearTimeout(id);
      };
    },
  };
  readonly memory = new HeldMemory({
    ...{ clock: this.#clock, logger: newSilentLogger(), limitBytes: LIMIT_BYTES },
  });
  readonly ended: string[] = [];
  readonly unread = new Map<string, number>();

  start(requestId: string): HeldRequest {
    const { unread, ended } = this;
    return this.memory.start({
      requestId,
      get unreadBytes() {
        return unread.get(requestId) ?? 0;
      },
      end: (isUpstream) => {
        ended.push(isUpstream ? `${requestId} upstream` : requestId);
      },
    });
  }

  /** The answer has `bytes` that its caller hasn't taken. */
  leave(req: HeldRequest, bytes: number): void {
    this.unread.set(req.sink.requestId, bytes);
    req.write();
  }

  wait(ms: number): void {
    this.#timers.tick(ms);
  }
}

describe("HeldMemory", () => {
  const limits: readonly [memoryMb: number | undefined, bytes: number][] = [
    [undefined, 64_000_000],
    [100, 16_000_000],
    [250, 30_000_000],
    [470, 128_000_000],
    [8_000, 128_000_000],
  ];
  for (const [memoryMb, bytes] of limits) {
    it(`holds at most ${String(bytes)} bytes on a VM with ${String(memoryMb)} MB`, () => {
      expect(getHeldLimitBytes(memoryMb)).to.equal(bytes);
    });
  }

  it("counts bodies, collected and unread bytes until the request ends", () => {
    const harness = new Harness();
    const req = harness.start("a");
    req.addBody(100);
    req.collect(50);
    harness.leave(req, 30);
    expect(harness.memory.bytes).to.equal(180);
    req.collect(-50);
    harness.leave(req, 10);
    expect(harness.memory.bytes).to.equal(110);
    harness.memory.end(req);
    req.addBody(5);
    expect(harness.memory.bytes).to.equal(0);
  });

  it("load: ends the slowest readers first, and no more of them than it has to", () => {
    const harness = new Harness();
    const [slow, slower, quick] = ["slow", "slower", "quick"].map((name) => harness.start(name));
    if (!slow || !slower || !quick) {
      throw new Error("no requests");
    }
    harness.leave(slower, 300);
    harness.wait(100);
    harness.leave(slow, 300);
    harness.leave(quick, 300);
    harness.wait(600);
    harness.leave(quick, 250);
    const newcomer = harness.start("newcomer");
    newcomer.addBody(200);
    expect(harness.memory.makeRoom()).to.equal(true);
    expect(harness.ended).to.deep.equal(["slower"]);
    newcomer.addBody(300);
    expect(harness.memory.makeRoom()).to.equal(true);
    expect(harness.ended).to.deep.equal(["slower", "slow"]);
    expect(harness.memory.bytes).to.equal(750);
  });

  it("ends a request whose upstream doesn't take the body", () => {
    const harness = new Harness();
    const req = harness.start("a");
    req.addBody(900);
    req.setCall({ unsentBytes: 800 });
    req.look();
    harness.wait(600);
    harness.start("b").addBody(200);
    expect(harness.memory.makeRoom()).to.equal(true);
    expect(harness.ended).to.deep.equal(["a upstream"]);
  });

  it("ends nobody who reads or is waited for, and says that there is no room", () => {
    const harness = new Harness();
    const reading = harness.start("reading");
    harness.start("prefilled").addBody(400);
    harness.leave(reading, 500);
    for (const bytes of [450, 400, 350]) {
      harness.wait(400);
      harness.leave(reading, bytes);
    }
    harness.start("newcomer").addBody(300);
    expect(harness.memory.makeRoom()).to.equal(false);
    expect(harness.ended).to.deep.equal([]);
  });

  // Otherwise a caller that took bytes long ago and one that takes them now seem alike.
  it("notes who takes bytes while much is held", () => {
    const harness = new Harness();
    const stuck = harness.start("stuck");
    const steady = harness.start("steady");
    harness.leave(steady, 400);
    harness.leave(stuck, 400);
    for (let bytes = 390; bytes >= 300; bytes -= 10) {
      harness.wait(250);
      harness.unread.set("steady", bytes);
    }
    harness.start("newcomer").addBody(400);
    expect(harness.memory.makeRoom()).to.equal(true);
    expect(harness.ended).to.deep.equal(["stuck"]);
  });
});
