import { newSilentLogger } from "@lycheepulley/telemetry";
import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { AnswerTimeline } from "./AnswerTimeline.js";
import type { Route } from "./fleetConfig.js";
import { FleetView } from "./FleetView.js";
import { LoadTracker } from "./LoadTracker.js";
import { Placer, PlacementFailure, type Placement, type PlacementQuery } from "./Placer.js";
import type { SendQuota } from "./limits/SendQuota.js";
import { UpstreamLimits } from "./limits/UpstreamLimits.js";
import { newLoneSendQuota } from "./testing/newLoneSendQuota.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newItem, newRoute, newUpstream } from "./testing/samples.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

const newQuota = (clock: ManualClock): SendQuota =>
  newLoneSendQuota(
    clock,
    new UpstreamLimits({ clock, logger: newSilentLogger(), onOwnChange: () => undefined }),
  );

const PROCESSES = 12;

const newQuery = (
  attemptId: string,
  route: Route,
  fields: { promptTokens: number; lastEventId: string | undefined },
): PlacementQuery => ({
  req: {
    head: {
      ...{ attemptId, method: "POST", path: "/", host: "h", headers: [] },
      ...{ deadlineMs: 10_000, apiKey: undefined, outputTokens: 430, sharedParts: [], ...fields },
    },
    route,
    ...{ body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
    ...{ receivedMs: 0, fingerprint: "f", signal: new AbortController().signal },
  },
  ...{
    pool: "p",
    isApart: false,
    excluded: new Set<string>(),
    deadlineAtMs: 5_000,
    signal: new AbortController().signal,
  },
  timeline: new AnswerTimeline(0, route),
});

/** Places one short prompt in each of several processes that have the same view. */
const placeAtOnce = async (upstreams: number): Promise<Map<string, number>> => {
  const counts = new Map<string, number>();
  const random = new SeededRandom(1);
  for (let process = 1; process <= PROCESSES; process++) {
    const clock = new ManualClock();
    const view = new FleetView();
    const tracker = new LoadTracker({ clock, onOwnChange: () => undefined });
    view.applyConfig(newConfig());
    const list = Array.from({ length: upstreams }, (_, index) => newUpstream(`u${String(index)}`));
    view.applyUpstreams({ version: 1, upstreams: list }, 0, new Set());
    // Half of the upstreams already decode a short answer.
    const items = list
      .filter((_, index) => index % 2 === 0)
      .map(({ id }) => newItem(`w-${id}`, { upstream: id, kvTokens: 5_000 }));
    tracker.replacePeer("peer", 1, items);
    const health = new UpstreamHealth(clock);
    const placer = new Placer({
      clock,
      random,
      view,
      loadTracker: tracker,
      health,
      quota: newQuota(clock),
      logger: newSilentLogger(),
    });
    const route = newRoute({ isStream: true, maxGapMs: 250 });
    const placement = await placer.find(
      newQuery(`a${String(process)}`, route, { promptTokens: 5_000, lastEventId: undefined }),
    );
    if (typeof placement !== "string") {
      counts.set(placement.upstream.id, (counts.get(placement.upstream.id) ?? 0) + 1);
    }
  }
  return counts;
};

/** Places one long prompt in a fleet that is full, after a short one that is worth more. */
const placeInFullFleet = async (
  route: Route,
  lastEventId: string | undefined,
): Promise<Placement | PlacementFailure> => {
  const clock = new ManualClock();
  const view = new FleetView();
  const tracker = new LoadTracker({ clock, onOwnChange: () => undefined });
  view.applyConfig(newConfig());
  const list = ["u1", "u2"].map((id) => newUpstream(id));
  view.applyUpstreams({ version: 1, upstreams: list }, 0, new Set());
  const items = list.flatMap(({ id, slots }) =>
    Array.from({ length: slots }, (_, at) => newItem(`w-${id}-${String(at)}`, { upstream: id })),
  );
  tracker.replacePeer("peer", 1, items);
  const health = new UpstreamHealth(clock);
  const random = new SeededRandom(1);
  const placer = new Placer({
    clock,
    random,
    view,
    loadTracker: tracker,
    health,
    quota: newQuota(clock),
    logger: newSilentLogger(),
  });
  await placer.find(newQuery("short", route, { promptTokens: 1_000, lastEventId: undefined }));
  return placer.find(newQuery("long", route, { promptTokens: 200_000, lastEventId }));
};

describe("Placer: a prompt that is worth less than others in a full fleet", () => {
  const RESUMABLE = newRoute({ isStream: true, isResumable: true, maxGapMs: 250 });
  const cases: readonly [
    name: string,
    route: Route,
    id: string | undefined,
    isAdmitted: boolean,
  ][] = [
    ["a new prompt", RESUMABLE, undefined, false],
    ["a prompt that its caller resumes", RESUMABLE, "7", true],
    ["a prompt of a route without resume", { ...RESUMABLE, isResumable: false }, "7", false],
  ];
  for (const [name, route, id, isAdmitted] of cases) {
    // Guards against resumed streams that were shed like new prompts, midway in their answer.
    it(`${isAdmitted ? "lets in" : "sheds"} ${name}`, async () => {
      const placement = await placeInFullFleet(route, id);
      expect(placement === PlacementFailure.Overloaded).to.equal(!isAdmitted);
    });
  }
});

describe("Placer: many processes that choose at the same moment", () => {
  it("spreads their prompts over the upstreams of a large pool", async () => {
    const counts = await placeAtOnce(54);
    expect(Math.max(...counts.values())).to.be.at.most(PROCESSES / 3);
  });

  it("picks the best upstream of a small pool", async () => {
    expect((await placeAtOnce(14)).size).to.equal(1);
  });
});
