import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";
import fc from "fast-check";

import { AnswerTimeline } from "../AnswerTimeline.js";
import { CostBook, CostKind } from "../costs/CostBook.js";
import { FleetView } from "../FleetView.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { LoadItem } from "../load.js";
import { LoadTracker } from "../LoadTracker.js";
import { PlacementFailure, Placer, type PlacementQuery } from "../Placer.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newLoneSendQuota, newRests } from "../testing/newLoneSendQuota.js";
import { ENGINE, newConfig, newItem, newRoute, newUpstream } from "../testing/samples.js";
import { UpstreamHealth, UpstreamResult } from "../UpstreamHealth.js";
import { explainPlacement, Verdict, type PlacementExplanation } from "./explainPlacement.js";
import { placementSnapshotSchema } from "./PlacementSnapshot.js";

/** Generated states take longer on a busy machine. */
const TIMEOUT_MS = 60_000;
const NO_RANDOM = { next: (): number => 0 };

/** How serving ends for a verdict when the caller leaves once it is decided. */
const FAILURES: Record<Verdict, readonly PlacementFailure[]> = {
  [Verdict.Sent]: [],
  [Verdict.Waits]: [
    ...[PlacementFailure.Cancelled, PlacementFailure.NoRoom, PlacementFailure.TooLarge],
  ],
  [Verdict.TooLate]: [PlacementFailure.TooLate],
  [Verdict.Overloaded]: [PlacementFailure.Overloaded],
  [Verdict.Limited]: [PlacementFailure.Limited, PlacementFailure.Cancelled],
  [Verdict.NoUpstream]: [PlacementFailure.NoUpstream],
};

/** State of one upstream. */
interface UpstreamCase {
  readonly requests: readonly Partial<LoadItem>[];
  readonly state: "open" | "resting" | "ejected" | "leaving" | "failed";
  readonly pace: number;
}

interface FleetCase {
  readonly upstreams: readonly UpstreamCase[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly learned: boolean;
}

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
    newUpstream(`u${String(at)}`, { isLeaving: state === "leaving" }),
  );
  view.applyUpstreams({ version: 1, upstreams }, 0, new Set());
  const items: LoadItem[] = [];
  fleet.upstreams.forEach(({ requests, state, pace }, at) => {
    const upstream = `u${String(at)}`;
    requests.forEach((fields, index) => {
      items.push(newItem(`${upstream}-${String(index)}`, { ...fields, upstream }));
    });
    if (state === "resting") {
      rests.record(upstream, 2_000);
    }
    if (state === "ejected") {
      health.record(upstream, UpstreamResult.Unreachable);
    }
    costs?.paces.record(upstream, pace, 0);
  });
  tracker.replacePeer("peer", 1, items);
  for (let at = 0; at < 20; at++) {
    costs?.record(CostKind.Call, { pool: "p", route: "r", customer: undefined }, 60);
  }
  const excluded = fleet.upstreams.flatMap(({ state }, at) =>
    state === "failed" ? [`u${String(at)}`] : [],
  );
  const route = newRoute({ isStream: true, maxGapMs: 250 });
  const quota = newLoneSendQuota(clock, limits, rests);
  const placer = new Placer({
    ...{ clock, random: NO_RANDOM, view, loadTracker: tracker, health, quota, costs, logger },
    promisesRoom: true,
  });
  const { promptTokens, outputTokens } = fleet;
  const query: PlacementQuery = {
    req: {
      head: {
        ...{ attemptId: "a", method: "POST", path: "/", host: "h", headers: [] },
        ...{ deadlineMs: 10_000, apiKey: undefined, promptTokens, outputTokens },
        ...{ lastEventId: undefined, sharedParts: [] },
      },
      ...{ route, body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
      ...{ receivedMs: 0, fingerprint: "f", signal: new AbortController().signal },
    },
    ...{ pool: "p", isApart: false, excluded: new Set(excluded), deadlineAtMs: 5_000 },
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
      state: fc.constantFrom("open", "open", "open", "resting", "ejected", "leaving", "failed"),
      pace: fc.constantFrom(0.7, 1, 1, 2),
    }),
    { minLength: 1, maxLength: 6 },
  ),
  promptTokens: fc.constantFrom(0, 800, 5_000, 45_000, 260_000),
  outputTokens: fc.integer({ min: 1, max: 4_000 }),
  learned: fc.boolean(),
});

describe("explanation of a placement", () => {
  it("names the upstreams that serving takes, and books nothing", async function () {
    this.timeout(TIMEOUT_MS);
    await fc.assert(
      fc.asyncProperty(fleetArbitrary, async (fleet) => {
        const { placer, tracker, query } = newFleet(fleet);
        const { verdict, upstream, helpers } = await explain(placer, query);
        expect(tracker.own).to.have.length(0);
        const abort = new AbortController();
        // Serving has decided by then, and would otherwise go on waiting.
        setImmediate(() => {
          abort.abort();
        });
        const served = await placer.find({ ...query, signal: abort.signal });
        if (typeof served === "string") {
          expect(FAILURES[verdict]).to.include(served);
        } else {
          expect(verdict).to.equal(Verdict.Sent);
          expect(upstream).to.equal(served.upstream.id);
          expect(helpers).to.deep.equal(served.plan?.helpers.map(({ id }) => id) ?? []);
        }
      }),
      { numRuns: 300 },
    );
  });

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
