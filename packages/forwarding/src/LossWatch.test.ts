import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { FleetView } from "./FleetView.js";
import { LossWatch, type WatchedSend } from "./LossWatch.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newUpstream } from "./testing/samples.js";

describe("LossWatch", () => {
  // A late verdict on the sends before it dropped the newer ones, whose upstream was then lost unseen.
  it("tells sends that began after the ones that a late verdict is about", async () => {
    const clock = new ManualClock();
    const view = new FleetView(clock);
    const upstream = newUpstream("u0", { bornMs: 1 });
    const answers: ((isAlive: boolean) => void)[] = [];
    const losses = new LossWatch({
      ...{ clock, view, logger: newSilentLogger(), tellPeers: () => undefined },
      probe: () => new Promise((resolve) => answers.push(resolve)),
    });
    view.applyUpstreams({ version: 1, upstreams: [upstream] }, 0, new Set());
    const lost: string[] = [];
    const newSend = (name: string): WatchedSend => ({
      ...{ heardMs: -Infinity, holdsMemory: false },
      onLost: () => lost.push(name),
    });
    const stopWatching = losses.watch(upstream, newSend("earlier"));
    losses.recordPeer("u0@1", "n1");
    stopWatching();
    losses.watch(upstream, newSend("newer"));
    answers.forEach((answer) => {
      answer(false);
    });
    await clock.advance(0);
    const next = { ...upstream, bornMs: 2 };
    view.applyUpstreams({ version: 2, upstreams: [next] }, 0, new Set());
    losses.onList();
    expect(lost).to.deep.equal(["newer"]);
  });
});
