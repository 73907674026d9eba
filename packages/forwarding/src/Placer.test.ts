import { SeededRandom } from "@lycheepulley/core";
import { expect } from "chai";

import { AnswerTimeline } from "./AnswerTimeline.js";
import { FleetView } from "./FleetView.js";
import { LoadTracker } from "./LoadTracker.js";
import { Placer } from "./Placer.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newItem, newRoute, newUpstream } from "./testing/samples.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

const PROCESSES = 12;

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
    const placer = new Placer({ clock, random, view, loadTracker: tracker, health });
    const route = newRoute({ isStream: true, maxGapMs: 250 });
    const placement = await placer.find({
      req: {
        head: {
          ...{
            attemptId: `a${String(process)}`,
            method: "POST",
            path: "/",
            host: "h",
            headers: [],
          },
          ...{ deadlineMs: 10_000, apiKey: undefined, promptTokens: 5_000, outputTokens: 430 },
          lastEventId: undefined,
        },
        route,
        ...{ body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
        ...{ receivedMs: 0, fingerprint: "f", signal: new AbortController().signal },
      },
      ...{
        pool: "p",
        excluded: new Set<string>(),
        signal: new AbortController().signal,
        deadlineAtMs: 5_000,
      },
      timeline: new AnswerTimeline(0, route),
    });
    if (typeof placement !== "string") {
      counts.set(placement.upstream.id, (counts.get(placement.upstream.id) ?? 0) + 1);
    }
  }
  return counts;
};

describe("Placer: many processes that choose at the same moment", () => {
  it("spreads their prompts over the upstreams of a large pool", async () => {
    const counts = await placeAtOnce(54);
    expect(Math.max(...counts.values())).to.be.at.most(PROCESSES / 3);
  });

  it("picks the best upstream of a small pool", async () => {
    expect((await placeAtOnce(14)).size).to.equal(1);
  });
});
