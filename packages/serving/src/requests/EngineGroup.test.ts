import { PeerError, type Clock } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";
import { createClock } from "@sinonjs/fake-timers";
import { expect } from "chai";

import { EngineGroup } from "./EngineGroup.js";

type Renewal = () => Promise<void>;

const accept: Renewal = () => Promise.resolve();
const forget: Renewal = () =>
  Promise.reject(new PeerError("b", "status 404", { sent: true, status: 404 }));
const lose: Renewal = () => Promise.reject(new PeerError("b", "reset", { sent: true }));

/** Prepares a group of two engines, of which one renews as told, and lets time pass. */
const runGroup = async (
  renewals: readonly Renewal[],
  ms: number,
  isLast: boolean,
): Promise<EngineGroup> => {
  const timers = createClock(0);
  const clock: Clock = {
    now: () => timers.now,
    wall: () => timers.now,
    setTimer: (fn, delayMs) => {
      const id = timers.setTimeout(fn, delayMs);
      return () => {
        timers.clearTimeout(id);
      };
    },
  };
  const left = [...renewals];
  const newMember = (name: string, renewKv: Renewal): EngineClient =>
    ({
      ...{ name, renewKv },
      reserveKv: () => Promise.resolve(true),
      exportSegment: () => Promise.resolve("handle"),
      releaseKv: () => Promise.resolve(),
    }) as Partial<EngineClient> as EngineClient;
  const told = newMember("b", () => (left.shift() ?? accept)());
  const members = isLast ? [newMember("a", accept), told] : [told, newMember("a", accept)];
  const group = new EngineGroup({
    ...{ members, clock },
    call: {
      ...{ attemptId: "r-a1", owner: "p/1", body: "{}", promptTokens: 10, outputTokens: 1 },
      ...{ priority: 1, timeoutMs: 60_000, signal: new AbortController().signal },
      onReach: () => undefined,
    },
  });
  await group.prepare();
  await timers.tickAsync(ms);
  return group;
};

// Guards against an answer that goes on after the memory of its prompt was freed.
describe("EngineGroup", () => {
  const CASES = [
    { name: "no renewal fails", renewals: [], ms: 30_000, isLost: false },
    { name: "one renewal fails", renewals: [lose], ms: 30_000, isLost: false },
    {
      name: "every other renewal fails",
      renewals: [lose, accept, lose],
      ms: 30_000,
      isLost: false,
    },
    {
      name: "renewals fail for less than a term",
      renewals: [lose, lose, lose],
      ms: 9_500,
      isLost: false,
    },
    {
      name: "renewals fail for a term",
      renewals: [lose, lose, lose, lose],
      ms: 12_500,
      isLost: true,
    },
    {
      name: "the engine doesn't know the reservation",
      renewals: [forget],
      ms: 3_500,
      isLost: true,
    },
  ];
  for (const { name, renewals, ms, isLost } of CASES) {
    it(`${isLost ? "ends" : "goes on"} when ${name}`, async () => {
      const group = await runGroup(renewals, ms, false);
      expect(group.signal.aborted).to.equal(isLost);
      expect(group.lossError?.peer).to.equal(isLost ? "b" : undefined);
      await group.release();
    });
  }

  // Guards against an answer that is broken off because its engine took the reservation over.
  it("goes on when the engine that answers doesn't know the reservation any more", async () => {
    const group = await runGroup([forget, forget, forget], 12_500, true);
    expect(group.signal.aborted).to.equal(false);
    await group.release();
  });
});
