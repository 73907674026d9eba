import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { AnswerTimeline } from "../AnswerTimeline.js";
import { FleetView } from "../FleetView.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { LoadItem } from "../load.js";
import { LoadTracker } from "../LoadTracker.js";
import { Placer, type Placement, type PlacementFailure } from "../Placer.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newLoneSendQuota } from "../testing/newLoneSendQuota.js";
import { ENGINE, newConfig, newRoute, newUpstream } from "../testing/samples.js";
import { UpstreamHealth } from "../UpstreamHealth.js";
import { CostBook, CostKind } from "./CostBook.js";

const KEY = { pool: "p", route: "r", customer: undefined };
const LIMIT_TOKENS = 4_000;
const OBSERVATIONS = 60;

/** A process that has seen short answers, quick calls and an upstream at a third of the speed. */
const newTaught = (clock: ManualClock): CostBook => {
  const costs = new CostBook(clock);
  for (let at = 0; at < OBSERVATIONS; at++) {
    const stated = { limitTokens: LIMIT_TOKENS, hintTokens: undefined };
    costs.recordLength(KEY, stated, 400);
    costs.record(CostKind.Call, KEY, 60);
    costs.paces.record("u0", 3, 0);
  }
  return costs;
};

/** Places a request on two idle upstreams, the first of which is slow. */
const place = async (
  promptTokens: number,
  learns: boolean,
): Promise<{ placed: Placement | PlacementFailure; item: LoadItem | undefined }> => {
  const clock = new ManualClock();
  const view = new FleetView();
  const loadTracker = new LoadTracker({ clock, onOwnChange: () => undefined });
  const logger = newSilentLogger();
  const limits = new UpstreamLimits({ clock, logger, onOwnChange: () => undefined });
  view.applyConfig(newConfig({ pools: [{ name: "p", engine: ENGINE }] }));
  const upstreams = ["u0", "u1"].map((id) => newUpstream(id));
  view.applyUpstreams({ version: 1, upstreams }, 0, new Set());
  const placer = new Placer({
    ...{ clock, random: { next: (): number => 0 }, view, loadTracker, logger },
    ...{ health: new UpstreamHealth(clock), quota: newLoneSendQuota(clock, limits) },
    costs: learns ? newTaught(clock) : undefined,
  });
  const route = newRoute({ isStream: true, maxGapMs: 250 });
  const { signal } = new AbortController();
  const placed = await placer.find({
    req: {
      head: {
        ...{ attemptId: "a", method: "POST", path: "/", host: "h", headers: [], promptTokens },
        ...{ deadlineMs: 10_000, apiKey: undefined, lastEventId: undefined, sharedParts: [] },
        ...{ outputTokens: LIMIT_TOKENS, outputHint: 700 },
      },
      ...{ route, body: Buffer.alloc(0), customer: undefined, priority: 1, revision: 1 },
      ...{ receivedMs: 0, fingerprint: "f", signal },
    },
    ...{ pool: "p", isApart: false, excluded: new Set<string>(), deadlineAtMs: 10_000, signal },
    timeline: new AnswerTimeline(0, route),
  });
  const [item] = loadTracker.own;
  return { placed, item };
};

describe("requests that are placed with learned costs on and off", () => {
  const cases = [
    { name: "a prompt", tokens: 5_000, learns: true, upstream: "u1", answer: [360, 440] },
    // What callers state as the most counts, whatever their estimate, as in builds that learn nothing.
    { name: "a prompt", tokens: 5_000, learns: false, upstream: "u0", answer: [4_000, 4_000] },
    { name: "a call", tokens: 0, learns: true, upstream: "u1", answer: undefined },
    { name: "a call", tokens: 0, learns: false, upstream: "u0", answer: undefined },
  ] as const;
  for (const { name, tokens, learns, upstream, answer } of cases) {
    it(`${name} with learning ${learns ? "on" : "off"} goes to ${upstream}`, async () => {
      const { placed, item } = await place(tokens, learns);
      expect(item?.upstream).to.equal(upstream);
      expect(item?.writeMs === undefined).to.equal(!learns);
      if (answer && typeof placed !== "string") {
        expect(placed.request?.outputTokens).to.be.within(answer[0], answer[1]);
      }
    });
  }
});
