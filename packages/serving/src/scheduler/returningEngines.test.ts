import { ALL_PROTECTIONS, FifoOrder, LengthAwarePlacement, Suspicion } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";
import { createClock } from "@sinonjs/fake-timers";
import { expect } from "chai";

import type { PoolEngine } from "./EngineTable.js";
import { PoolScheduler } from "./PoolScheduler.js";
import type { StrikeTracker } from "./StrikeTracker.js";
import type { AcquireRequest } from "./types.js";

const MAX_STREAMS = 8;

const newRequest = (id: string): AcquireRequest => ({
  ...{ id, pool: "p", model: "m", className: "c", priority: 1, customer: "c", weight: 1 },
  ...{ promptTokens: 1_000, outputTokens: 10, fingerprint: id, prefixBlocks: [], parts: 1 },
  ...{ remainingMs: 60_000, waitedMs: 0, excluded: [], prefillTokensPerS: 1_000 },
  ...{ engineKvTokens: 400_000, maxStreams: MAX_STREAMS },
});

/** Grants of `count` requests by engine, `sinceMs` after the domain of the engine `b` was taken back. */
const place = async (
  count: number,
  sinceMs: number | undefined,
): Promise<Record<string, number>> => {
  const timers = createClock(10_000);
  const scheduler = new PoolScheduler({
    pool: "p",
    clock: {
      now: () => timers.now,
      wall: () => timers.now,
      setTimer: (fn, ms) => {
        const id = timers.setTimeout(fn, ms);
        return () => {
          timers.clearTimeout(id);
        };
      },
    },
    ...{ policy: new LengthAwarePlacement(), order: new FifoOrder(), protections: ALL_PROTECTIONS },
    strikes: { getSuspicion: () => Suspicion.None } as unknown as StrikeTracker,
    ...{ isAgreedStateFresh: () => true, getMaxQueued: () => 100, getCachedTokens: () => ({}) },
    getLongPromptTokens: () => 100_000,
  });
  const setEngines = (isEvacuated: boolean): void => {
    scheduler.setEngines(
      ["a", "b"].map((name): PoolEngine => ({
        client: { name } as EngineClient,
        ...{ failureDomain: name, isLeaving: false, isEvacuated: isEvacuated && name === "b" },
      })),
    );
  };
  setEngines(true);
  if (sinceMs !== undefined) {
    setEngines(false);
    timers.tick(sinceMs);
  }
  for (let at = 0; at < count; at++) {
    void scheduler.acquire(newRequest(`r${String(at)}`), "p/1");
  }
  await timers.tickAsync(0);
  const counts = scheduler.getEngines().map(({ name, grants }) => [name, grants.size] as const);
  scheduler.close();
  return Object.fromEntries(counts);
};

describe("PoolScheduler: a failure domain that is taken back", () => {
  const cases: readonly {
    name: string;
    count: number;
    sinceMs: number | undefined;
    expected: Record<string, number>;
  }[] = [
    { name: "nothing while evacuated", count: 6, sinceMs: undefined, expected: { a: 6, b: 0 } },
    { name: "nothing at once", count: 6, sinceMs: 0, expected: { a: 6, b: 0 } },
    { name: "a quarter after a second", count: 8, sinceMs: 1_000, expected: { a: 6, b: 2 } },
    { name: "its share once it is back", count: 8, sinceMs: 4_000, expected: { a: 4, b: 4 } },
    { name: "what others have no room for", count: 12, sinceMs: 0, expected: { a: 8, b: 4 } },
  ];
  for (const { name, count, sinceMs, expected } of cases) {
    // Guards against engines, perhaps cold, that get all of their work back at once.
    it(`gets ${name}`, async () => {
      expect(await place(count, sinceMs)).to.deep.equal(expected);
    });
  }
});
