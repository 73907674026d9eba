import { SeededRandom, sleep } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { FleetView } from "./FleetView.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newConfig, newUpstream } from "./testing/samples.js";
import { UpstreamHealth } from "./UpstreamHealth.js";
import { UpstreamWatch } from "./UpstreamWatch.js";

const IDS = ["u0", "u1", "u2", "u3"];
const PROBE_TIMEOUT_MS = 300;
/** Longer than the spread of the probes and their time-out. */
const CHECKED_MS = 401;

class WatchHarness {
  readonly clock = new ManualClock();
  readonly dead = new Set<string>();
  readonly told: string[] = [];
  readonly health = new UpstreamHealth(this.clock);
  readonly view = new FleetView();
  probes = 0;
  readonly watch = new UpstreamWatch({
    ...{ clock: this.clock, random: new SeededRandom(1), view: this.view, health: this.health },
    probe: ({ id }) => this.#probe(id),
    logger: newSilentLogger(),
    tellPeers: (id) => this.told.push(id),
  });

  constructor() {
    this.view.applyConfig(newConfig());
    this.list(IDS);
  }

  list(ids: readonly string[]): void {
    const version = this.view.list.version + 1;
    const upstreams = ids.map((id) => newUpstream(id));
    this.view.applyUpstreams({ version, upstreams }, 0, new Set());
  }

  async #probe(id: string): Promise<boolean> {
    this.probes += 1;
    await sleep(this.clock, this.dead.has(id) ? PROBE_TIMEOUT_MS : 1);
    return !this.dead.has(id);
  }
}

describe("UpstreamWatch", () => {
  const cases: readonly {
    name: string;
    isDead: boolean;
    from: "own" | "peer";
    isEjected: boolean;
    told: string[];
  }[] = [
    {
      name: "a sound one that failed here",
      isDead: false,
      from: "own",
      isEjected: false,
      told: [],
    },
    {
      name: "a dead one that failed here",
      isDead: true,
      from: "own",
      isEjected: true,
      told: ["u0"],
    },
    // Guards against peers that accuse upstreams which only they can't reach.
    {
      name: "a sound one that a peer reports",
      isDead: false,
      from: "peer",
      isEjected: false,
      told: [],
    },
    {
      name: "a dead one that a peer reports",
      isDead: true,
      from: "peer",
      isEjected: true,
      told: [],
    },
  ];
  for (const { name, isDead, from, isEjected, told } of cases) {
    it(`${isEjected ? "ejects" : "goes on to use"} ${name}`, async () => {
      const harness = new WatchHarness();
      if (isDead) {
        harness.dead.add("u0");
      }
      if (from === "own") {
        harness.watch.suspect("u0");
      } else {
        harness.watch.recordPeer("u0", "n1");
        expect(harness.health.isEjected("u0")).to.equal(true);
      }
      await harness.clock.advance(CHECKED_MS);
      expect(harness.health.isEjected("u0")).to.equal(isEjected);
      expect(harness.told).to.deep.equal(told);
    });
  }

  // Guards against requests that are lost one after the other at an upstream which is still dead.
  it("keeps a dead one out until it answers, without a request, and tells the peers once", async () => {
    const harness = new WatchHarness();
    harness.dead.add("u0");
    harness.watch.suspect("u0");
    await harness.clock.advance(CHECKED_MS);
    for (let passedMs = 0; passedMs < 8_000; passedMs += 100) {
      harness.watch.suspect("u0");
      harness.watch.recordPeer("u0", "n1");
      expect(harness.health.isEjected("u0")).to.equal(true);
      await harness.clock.advance(100);
    }
    expect(harness.told).to.deep.equal(["u0"]);
    expect(harness.probes).to.be.below(10);
    harness.dead.clear();
    await harness.clock.advance(1_500);
    expect(harness.health.isEjected("u0")).to.equal(false);
  });

  it("stops probing one that is no longer listed", async () => {
    const harness = new WatchHarness();
    harness.dead.add("u0");
    harness.watch.suspect("u0");
    await harness.clock.advance(CHECKED_MS);
    harness.list(["u1"]);
    await harness.clock.advance(2_000);
    const { probes } = harness;
    await harness.clock.advance(10_000);
    expect(harness.probes).to.equal(probes);
  });

  // Guards against a stopped process that can't end, since it goes on with its probes.
  it("makes no more probes once it is stopped", async () => {
    const harness = new WatchHarness();
    harness.dead.add("u0");
    harness.watch.suspect("u0");
    await harness.clock.advance(CHECKED_MS);
    harness.watch.stop();
    harness.watch.suspect("u1");
    const { probes } = harness;
    await harness.clock.advance(10_000);
    expect(harness.probes).to.equal(probes);
  });

  it("ignores one that it doesn't know", async () => {
    const harness = new WatchHarness();
    harness.watch.suspect("u9");
    harness.watch.recordPeer("u9", "n1");
    await harness.clock.advance(CHECKED_MS);
    expect(harness.probes).to.equal(0);
  });
});
