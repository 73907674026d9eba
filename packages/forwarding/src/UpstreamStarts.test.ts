import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { FleetView } from "./FleetView.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newUpstream } from "./testing/samples.js";
import { UpstreamListTracker } from "./UpstreamListTracker.js";

const BEAT_MS = 1_200;

describe("UpstreamListTracker: an upstream that starts again under its id", () => {
  /** Applies lists that name the start of `u`; returns the ids of which something is known after each. */
  const newTracker = (): {
    view: FleetView;
    apply: (
      bornMs: number | undefined,
      options?: { isLeaving?: boolean; epoch?: number },
    ) => string[];
  } => {
    const [clock, view] = [new ManualClock(), new FleetView()];
    const tracker = new UpstreamListTracker({
      ...{ clock, view, upstreamBeatMs: BEAT_MS, logger: newSilentLogger() },
      onRestored: () => undefined,
    });
    let version = 0;
    return {
      view,
      apply: (bornMs, { isLeaving = false, epoch = 0 } = {}) => {
        version += 1;
        const upstreams = [newUpstream("u", { bornMs, isLeaving }), newUpstream("w")];
        tracker.apply({ epoch, version, upstreams }, clock.now());
        return [...tracker.lasting].sort();
      },
    };
  };

  const cases: readonly [name: string, starts: (number | undefined)[], lasting: string][] = [
    ["with a later start", [5, 9], "w"],
    ["with the same start", [5, 5], "u w"],
    ["with an earlier start, of an older copy", [9, 5], "u w"],
    ["with the start again after an older copy", [9, 5, 9], "u w"],
    ["that named no start before", [undefined, 9], "u w"],
    ["that names no start any more", [5, undefined], "u w"],
    ["and is listed once more", [5, 9, 9], "u w"],
  ];
  for (const [name, starts, lasting] of cases) {
    it(`knows nothing of what was before only when it is listed ${name}: ${lasting}`, () => {
      const { apply } = newTracker();
      expect(starts.map((bornMs) => apply(bornMs).join(" ")).at(-1)).to.equal(lasting);
    });
  }

  it("uses it although the earlier one said that it leaves", () => {
    const { apply, view } = newTracker();
    apply(5);
    view.recordLeaving("u");
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["w"]);
    apply(9);
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["u", "w"]);
  });

  it("uses it although the earlier one drained before the service was restored", () => {
    const { apply, view } = newTracker();
    apply(5);
    apply(5, { isLeaving: true });
    apply(5, { epoch: 1 });
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["w"]);
    apply(9, { epoch: 1 });
    expect(view.getAvailable("p").map(({ id }) => id)).to.deep.equal(["u", "w"]);
  });

  it("has a digest of its own, which stays the same while it warms up", () => {
    const digests = [
      { bornMs: 5, coldMs: 900 },
      { bornMs: 5, coldMs: 0 },
      { bornMs: 9, coldMs: 0 },
    ].map((fields, version) => {
      const view = new FleetView();
      view.applyUpstreams({ version, upstreams: [newUpstream("u", fields)] }, 0, new Set());
      return view.listDigest;
    });
    expect(digests[0]).to.equal(digests[1]);
    expect(digests[2]).to.not.equal(digests[1]);
  });
});
