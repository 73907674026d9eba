import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";
import fc from "fast-check";

import { AnswerTimeline } from "../AnswerTimeline.js";
import { CostBook, CostKind } from "../costs/CostBook.js";
import { FleetView } from "../FleetView.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { LoadItem } from "../load.js";
import { LoadTracker } from "../LoadTracker.js";
import { PlacementFailure, Placer, type Placement, type PlacementQuery } from "../Placer.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newLoneSendQuota, newRests } from "../testing/newLoneSendQuota.js";
import { ENGINE, newConfig, newItem, newRoute, newUpstream } from "../testing/samples.js";
import { UpstreamHealth, UpstreamResult } from "../UpstreamHealth.js";
import { explainPlacement, Verdict, type PlacementExplanation } from "./explainPlacement.js";
import { placementSnapshotSchema } from "./PlacementSnapshot.js";

/** Generated states take longer on a busy machine. */
const TIMEOUT_MS = 60_000;
const ROUNDING_MS = 1e-6;
const NO_RANDOM = { next: (): number => 0 };

/** How serving ends for a verdict when the caller leaves once it is decided; undefined for a placement. */
const FAILURES: Record<Verdict, PlacementFailure | undefined> = {
  [Verdict.Sent]: undefined,
  [Verdict.Waits]: PlacementFailure.Cancelled,
  [Verdict.WaitsForQuota]: PlacementFailure.Cancelled,
  [Verdict.TooLate]: PlacementFailure.TooLate,
  [Verdict.TooLarge]: PlacementFailure.TooLarge,
  [Verdict.NoRoom]: PlacementFailure.NoRoom,
  [Verdict.Overloaded]: PlacementFailure.Overloaded,
  [Verdict.Limited]: PlacementFailure.Limited,
  [Verdict.NoUpstream]: PlacementFailure.NoUpstream,
};
const FINGERPRINT = "f";

/** State of one upstream. */
interface UpstreamCase {
  readonly requests: readonly Partial<LoadItem>[];
  readonly state: "open" | "resting" | "ejected" | "leaving" | "failed" | "limited";
  readonly pace: number;
}

/** Room that another prompt is promised, or this one from its first attempt. */
interface PromiseCase {
  readonly upstreams: number;
  readonly kvTokens: number;
  readonly place: number;
  readonly inMs: number;
  readonly neededInMs: number;
  readonly isReturn: boolean;
}

interface FleetCase {
  readonly upstreams: readonly UpstreamCase[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly learned: boolean;
  readonly promises?: readonly PromiseCase[];
  readonly promisesRoom?: boolean;
  /** Every other upstream is far, and distance counts. */
  readonly weighsDistance?: boolean;
  readonly timeoutMs?: number;
  /** Rest that upstreams asked for, milliseconds. */
  readonly restMs?: number;
  /** The caller has a part of the answer. */
  readonly isResumed?: boolean;
  /** Another prompt came before, so that the process knows what work is worth. */
  readonly isSecond?: boolean;
}

const newPromised = (promise: PromiseCase, at: number): LoadItem => {
  const { upstreams, kvTokens, place, inMs, neededInMs, isReturn } = promise;
  const [upstream = "u0", ...helpers] = Array.from(
    { length: upstreams },
    (_, index) => `u${String(index)}`,
  );
  return {
    ...newItem(isReturn ? `return-${FINGERPRINT}` : `w${String(at)}`, { upstream, kvTokens }),
    ...{ helpers, heldTokens: helpers.map(() => kvTokens) },
    promise: {
      ...{ place, inMs, neededInMs: Math.max(inMs, neededInMs), forMs: 3_000, renewal: 0 },
      ...(isReturn && { returnKey: FINGERPRINT }),
    },
  };
};

const newFleet = (
  fleet: FleetCase,
): { placer: Placer; tracker: LoadTracker; query: PlacementQuery } => {
  const clock = new ManualClock();
  const view = new FleetView();
  const tracker = new LoadTracker({ clock, onOwnChange: () => undefined });
  const health = new UpstreamHealth(clock);
  const rests = newRests(clock);
  const logger = newSilentLogger();
  const limits = new UpstreamLimits({ clock, logger, onOwnChange: () => undefined });
  const costs = fleet.learned ? new CostBook(clock) : undefined;
  view.applyConfig(newConfig({ pools: [{ name: "p", engine: ENGINE }] }));
  const upstreams = fleet.upstreams.map(({ state }, at) =>
    newUpstream(`u${String(at)}`, {
      isLeaving: state === "leaving",
      failureDomain: at % 2 === 0 ? "far" : "near",
    }),
  );
  view.applyUpstreams({ version: 1, upstreams }, 0, new Set());
  const items: LoadItem[] = [];
  fleet.upstreams.forEach(({ requests, state, pace }, at) => {
    const upstream = `u${String(at)}`;
    requests.forEach((fields, index) => {
      items.push(newItem(`${upstream}-${String(index)}`, { ...fields, upstream }));
    });
    if (state === "resting") {
      rests.record(upstream, fleet.restMs ?? 2_000);
    }
    if (state === "limited") {
      limits.record({ upstream, perSecond: 5, sentMs: 0, receivedMs: 0 });
    }
    if (state === "ejected") {
      health.record(upstream, UpstreamResult.Unreachable);
    }
    costs?.paces.record(upstream, pace, 0);
  });
  items.push(...(fleet.promises ?? []).map(newPromised));
  tracker.replacePeer("peer", 1, items);
  for (let at = 0; at < 20; at++) {
    costs?.record(CostKind.Call, { pool: "p", route: "r", customer: undefined }, 60);
  }
  const excluded = fleet.upstreams.flatMap(({ state }, at) =>
    state === "failed" ? [`u${String(at)}`] : [],
  );
  const { isResumed = false } = fleet;
  const route = newRoute({ isStream: true, maxGapMs: 250, isResumable: isResumed });
  const quota = newLoneSendQuota(clock, limits, rests);
  const placer = new Placer({
    ...{ clock, random: NO_RANDOM, view, loadTracker: tracker, health, quota, costs, logger },
    promisesRoom: fleet.promisesRoom ?? true,
    nearDomain: fleet.weighsDistance === true ? "near" : undefined,
  });
  const { promptTokens, outputTokens, timeoutMs = 5_000 } = fleet;
  const query: PlacementQuery = {
    req: {
      head: {
        ...{ attemptId: "a", method: "POST", path: "/", host: "h", headers: [] },
        ...{ deadlineMs: 10_000, apiKey: undefined, promptTokens, outputTokens },
        ...{ lastEventId: isResumed ? "7" : undefined, sharedParts: [] },
      },
      ...{ route, body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
      ...{ receivedMs: 0, fingerprint: FINGERPRINT, signal: new AbortController().signal },
    },
    ...{ pool: "p", isApart: false, excluded: new Set(excluded), deadlineAtMs: timeoutMs },
    ...{ signal: new AbortController().signal, timeline: new AnswerTimeline(0, route) },
  };
  return { placer, tracker, query };
};

/** Explains a placement from what a file would hold of it. */
const explain = async (placer: Placer, query: PlacementQuery): Promise<PlacementExplanation> => {
  const saved = JSON.stringify(await placer.explain(query));
  return explainPlacement(placementSnapshotSchema.parse(JSON.parse(saved)));
};

const requestArbitrary = fc.record({
  phase: fc.constantFrom("reading" as const, "writing" as const),
  readMs: fc.integer({ min: 0, max: 2_000 }),
  kvTokens: fc.integer({ min: 0, max: 60_000 }),
  writeMs: fc.option(fc.integer({ min: 1, max: 5_000 }), { nil: undefined }),
  maxGapMs: fc.constantFrom(250, 600, 1_000),
});

const fleetArbitrary: fc.Arbitrary<FleetCase> = fc.record({
  upstreams: fc.array(
    fc.record({
      requests: fc.array(requestArbitrary, { maxLength: 13 }),
      state: fc.constantFrom(
        ...(["open", "open", "open", "resting", "ejected", "leaving", "failed"] as const),
      ),
      pace: fc.constantFrom(0.7, 1, 1, 2),
    }),
    { minLength: 1, maxLength: 6 },
  ),
  promptTokens: fc.constantFrom(0, 800, 5_000, 45_000, 120_000, 260_000, 900_000),
  outputTokens: fc.integer({ min: 1, max: 4_000 }),
  learned: fc.boolean(),
  promises: fc.array(
    fc.record({
      ...{ upstreams: fc.integer({ min: 1, max: 3 }), kvTokens: fc.constantFrom(20_000, 90_000) },
      ...{ place: fc.integer({ min: 1, max: 5 }), inMs: fc.integer({ min: 0, max: 3_000 }) },
      ...{ neededInMs: fc.integer({ min: 0, max: 4_000 }), isReturn: fc.boolean() },
    }),
    { maxLength: 3 },
  ),
  promisesRoom: fc.constantFrom(true, true, true, false),
  timeoutMs: fc.constantFrom(1_000, 5_000, 20_000),
  restMs: fc.constantFrom(50, 2_000),
  isResumed: fc.constantFrom(false, false, true),
  isSecond: fc.boolean(),
  weighsDistance: fc.boolean(),
});

describe("explanation of a placement", () => {
  /** Serves a request, whose caller leaves once serving has decided; returns what it books meanwhile. */
  const serve = async (
    { placer, tracker }: ReturnType<typeof newFleet>,
    query: PlacementQuery,
  ): Promise<{ served: Placement | PlacementFailure; booked: LoadItem[] }> => {
    const abort = new AbortController();
    let booked: LoadItem[] = [];
    // Serving would otherwise go on waiting.
    setImmediate(() => {
      booked = [...tracker.own];
      abort.abort();
    });
    const served = await placer.find({ ...query, signal: abort.signal });
    return { served, booked };
  };

  it("tells what serving does, and books nothing", async function () {
    this.timeout(TIMEOUT_MS);
    const seen = new Set<Verdict>();
    await fc.assert(
      fc.asyncProperty(fleetArbitrary, async (fleet) => {
        const made = newFleet(fleet);
        const { placer, tracker, query } = made;
        if (fleet.isSecond) {
          const head = { ...query.req.head, attemptId: "first", promptTokens: 800 };
          await serve(made, { ...query, req: { ...query.req, head, fingerprint: "g" } });
          tracker.removeOwn("first");
        }
        const explained = await explain(placer, query);
        expect(tracker.own).to.have.length(0);
        const { verdict, upstream, helpers, wait } = explained;
        seen.add(verdict);
        const { served, booked } = await serve(made, query);
        if (typeof served === "string") {
          expect(served).to.equal(FAILURES[verdict]);
          if (explained.retryAfterMs !== undefined) {
            const retryMs = placer.getRetryMs(query, served);
            expect(explained.retryAfterMs).to.be.closeTo(retryMs, ROUNDING_MS);
          }
          const [item] = booked;
          expect(explained.isRoomKept || wait?.isPromised === true).to.equal(Boolean(item));
          if (wait && item) {
            const promised = [item.upstream, ...item.helpers];
            expect([wait.place, wait.upstreams]).to.deep.equal([item.promise?.place, promised]);
            expect(Math.ceil(wait.roomMs ?? -1)).to.equal(item.promise?.inMs);
          }
        } else {
          expect(verdict).to.equal(Verdict.Sent);
          expect(upstream).to.equal(served.upstream.id);
          expect(helpers).to.deep.equal(served.plan?.helpers.map(({ id }) => id) ?? []);
        }
      }),
      { numRuns: 800, seed: 1 },
    );
    expect([...seen]).to.include.members([
      ...[Verdict.Sent, Verdict.Waits, Verdict.TooLate, Verdict.TooLarge, Verdict.NoRoom],
      ...[Verdict.Overloaded, Verdict.Limited, Verdict.NoUpstream, Verdict.WaitsForQuota],
    ]);
  });

  it("says who goes before a prompt that waits, and when there is room", async () => {
    const full = { kvTokens: 218_000, phase: "writing" as const, writeMs: 2_000 };
    const { placer, query } = newFleet({
      upstreams: [{ requests: [full], pace: 1, state: "open" }],
      ...{ promptTokens: 120_000, outputTokens: 100, learned: false, timeoutMs: 60_000 },
      promises: [
        { upstreams: 1, kvTokens: 90_000, place: 2, inMs: 2_500, neededInMs: 0, isReturn: false },
        { upstreams: 1, kvTokens: 50_000, place: 1, inMs: 2_500, neededInMs: 0, isReturn: false },
      ],
    });
    const { verdict, wait } = await explain(placer, query);
    expect(verdict).to.equal(Verdict.Waits);
    expect(wait).to.include({ place: 3, isPromised: true });
    expect(wait?.behind.map(({ id }) => id)).to.deep.equal(["w1", "w0"]);
    expect(wait?.firstEventMs).to.be.above(wait?.roomMs ?? Infinity);
  });

  for (const state of ["limited", "open"] as const) {
    it(`says whether the owner of a quota is to be asked: upstream ${state}`, async () => {
      const { placer, query } = newFleet({
        upstreams: [{ requests: [], pace: 1, state }],
        ...{ promptTokens: 5_000, outputTokens: 500, learned: false },
      });
      const { isOwnerUnasked, verdict } = await explain(placer, query);
      expect([verdict, isOwnerUnasked]).to.deep.equal([Verdict.Sent, state === "limited"]);
    });
  }

  it("names what ruled the others out", async () => {
    const idle = { requests: [], pace: 1 };
    const states = ["open", "resting", "ejected", "leaving", "failed", "open", "open"] as const;
    const { placer, query } = newFleet({
      upstreams: states.map((state) => ({ ...idle, state })),
      ...{ promptTokens: 5_000, outputTokens: 500, learned: true },
    });
    const { ruledOut } = await explain(placer, query);
    expect(ruledOut.map(({ upstream, reason }) => `${upstream} ${reason}`)).to.deep.equal([
      ...["u1 resting", "u2 ejected", "u3 unavailable", "u4 failed"],
    ]);
  });

  const cases: readonly [
    name: string,
    state: UpstreamCase["state"],
    verdict: Verdict,
    retryMs: number,
  ][] = [
    ["all upstreams rest", "resting", Verdict.Limited, 2_000],
    ["no upstream may be used", "leaving", Verdict.NoUpstream, 500],
  ];
  for (const [name, state, verdict, retryMs] of cases) {
    it(`tells the time to return when ${name}`, async () => {
      const { placer, query } = newFleet({
        upstreams: [{ requests: [], pace: 1, state }],
        ...{ promptTokens: 5_000, outputTokens: 500, learned: false },
      });
      const found = await explain(placer, query);
      expect(found.verdict).to.equal(verdict);
      expect(found.retryAfterMs).to.be.at.least(retryMs);
    });
  }
});
