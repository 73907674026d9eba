import { SeededRandom, type Random } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { AnswerTimeline } from "../AnswerTimeline.js";
import type { FleetConfig, Route } from "../fleetConfig.js";
import { FleetView } from "../FleetView.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { LoadItem } from "../load.js";
import { LoadTracker } from "../LoadTracker.js";
import { Placer, type PlacementQuery } from "../Placer.js";
import { UpstreamHealth } from "../UpstreamHealth.js";
import { ManualClock } from "./ManualClock.js";
import { newLoneSendQuota } from "./newLoneSendQuota.js";
import { newConfig, newUpstream } from "./samples.js";

/** A placer of one process, with the upstreams `u0`, `u1`, … of one pool and the load of one peer. */
export class PlacerHarness {
  readonly placer: Placer;
  readonly view = new FleetView();
  readonly upstreams: readonly string[];
  readonly #tracker: LoadTracker;

  /** Every `domains` upstreams are in as many failure domains, `d0`, `d1`, …. */
  constructor(options: {
    upstreams: number;
    random?: Random;
    config?: FleetConfig;
    domains?: number;
    nearDomain?: string | undefined;
  }) {
    const { random = new SeededRandom(1), config = newConfig(), domains = 1 } = options;
    const clock = new ManualClock();
    const logger = newSilentLogger();
    this.#tracker = new LoadTracker({ clock, onOwnChange: () => undefined });
    this.upstreams = Array.from({ length: options.upstreams }, (_, at) => `u${String(at)}`);
    this.view.applyConfig(config);
    const list = this.upstreams.map((id, at) =>
      newUpstream(id, { failureDomain: `d${String(at % domains)}` }),
    );
    this.view.applyUpstreams({ version: 1, upstreams: list }, 0, new Set());
    const limits = new UpstreamLimits({ clock, logger, onOwnChange: () => undefined });
    this.placer = new Placer({
      ...{ clock, random, view: this.view, loadTracker: this.#tracker, logger },
      health: new UpstreamHealth(clock),
      quota: newLoneSendQuota(clock, limits),
      nearDomain: options.nearDomain,
    });
  }

  setPeerItems(items: readonly LoadItem[]): void {
    this.#tracker.replacePeer("peer", 1, [...items]);
  }
}

/** Query of a prompt with 5 s to its deadline. */
export const newQuery = (
  attemptId: string,
  route: Route,
  fields: { promptTokens: number; lastEventId?: string | undefined; priority?: number },
): PlacementQuery => ({
  req: {
    head: {
      ...{ attemptId, method: "POST", path: "/", host: "h", headers: [], deadlineMs: 10_000 },
      ...{ apiKey: undefined, outputTokens: 430, sharedParts: [] },
      ...{ promptTokens: fields.promptTokens, lastEventId: fields.lastEventId },
    },
    route,
    ...{ body: Buffer.alloc(0), customer: undefined, priority: fields.priority ?? 1, revision: 1 },
    ...{ receivedMs: 0, fingerprint: "f", signal: new AbortController().signal },
  },
  ...{ pool: "p", isApart: false, excluded: new Set<string>(), deadlineAtMs: 5_000 },
  signal: new AbortController().signal,
  timeline: new AnswerTimeline(0, route),
});
