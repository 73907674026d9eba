import { SeededRandom } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { ManualClock } from "../testing/ManualClock.js";
import { newUpstream } from "../testing/samples.js";
import { DetourPeers } from "./DetourPeers.js";
import { UplinkMonitor } from "./UplinkMonitor.js";

const PROBE_MS = 250;

/** A process before ten upstreams; the links to those in `dead` are cut. */
class MonitorHarness {
  readonly clock = new ManualClock();
  readonly dead = new Set<string>();
  readonly changes: boolean[] = [];
  readonly ids = Array.from({ length: 10 }, (_, index) => `u${String(index)}`);
  probes = 0;
  readonly monitor = new UplinkMonitor({
    ...{ clock: this.clock, random: new SeededRandom(1), logger: newSilentLogger() },
    getUpstreams: () => this.ids.map((id) => newUpstream(id)),
    probe: ({ id }) => this.#probe(id),
    onChange: (isLost) => {
      this.changes.push(isLost);
    },
  });

  cutAll(): void {
    this.ids.forEach((id) => this.dead.add(id));
  }

  #probe(id: string): Promise<boolean> {
    this.probes += 1;
    return new Promise((resolve) => {
      this.clock.setTimer(
        () => {
          resolve(!this.dead.has(id));
        },
        this.dead.has(id) ? PROBE_MS : 1,
      );
    });
  }
}

describe("UplinkMonitor", () => {
  const lostCases: readonly {
    name: string;
    arrange: (harness: MonitorHarness) => void;
    isLost: boolean;
  }[] = [
    {
      name: "all links are cut",
      arrange: (harness) => {
        harness.cutAll();
      },
      isLost: true,
    },
    {
      name: "one upstream is down",
      arrange: (harness) => harness.dead.add("u0"),
      isLost: false,
    },
    {
      name: "no upstream is listed",
      arrange: (harness) => harness.ids.splice(0),
      isLost: false,
    },
    {
      name: "the only upstream is down",
      arrange: (harness) => {
        harness.ids.splice(1);
        harness.cutAll();
      },
      isLost: true,
    },
    {
      name: "a connection was accepted during the check",
      arrange: (harness) => {
        harness.cutAll();
        harness.clock.setTimer(() => {
          harness.monitor.recordConnected();
        }, 100);
      },
      isLost: false,
    },
  ];
  for (const { name, arrange, isLost } of lostCases) {
    it(`${isLost ? "finds the links lost" : "keeps its links"} when ${name}`, async () => {
      const harness = new MonitorHarness();
      arrange(harness);
      harness.monitor.suspect();
      await harness.clock.advance(PROBE_MS + 1);
      expect(harness.monitor.isLost).to.equal(isLost);
      harness.monitor.stop();
    });
  }

  it("makes one check for many failures at a time", async () => {
    const harness = new MonitorHarness();
    for (let index = 0; index < 100; index += 1) {
      harness.monitor.suspect();
    }
    await harness.clock.advance(PROBE_MS + 1);
    expect(harness.probes).to.be.below(harness.ids.length);
  });

  it("makes no more checks once it is stopped, also in the middle of one", async () => {
    const harness = new MonitorHarness();
    harness.cutAll();
    harness.monitor.suspect();
    await harness.clock.advance(600);
    expect(harness.monitor.isLost).to.equal(true);
    await harness.clock.advance(200);
    harness.monitor.stop();
    await harness.clock.advance(PROBE_MS + 1);
    const { probes } = harness;
    await harness.clock.advance(5_000);
    expect(harness.probes).to.equal(probes);
  });

  // Guards against links that are used again at the first connection that gets through.
  it("uses the links again after two checks that most upstreams accept", async () => {
    const harness = new MonitorHarness();
    harness.cutAll();
    harness.monitor.suspect();
    await harness.clock.advance(5_000);
    harness.dead.clear();
    await harness.clock.advance(600);
    expect(harness.monitor.isLost).to.equal(true);
    await harness.clock.advance(1_000);
    expect(harness.monitor.isLost).to.equal(false);
    expect(harness.changes).to.deep.equal([true, false]);
  });
});

describe("DetourPeers", () => {
  const newPeers = (
    clock: ManualClock,
    getHosts = (): string[] => ["a", "b", "c"],
    getLeavingHosts = (): string[] => [],
  ): DetourPeers =>
    new DetourPeers({ clock, random: new SeededRandom(1), getHosts, getLeavingHosts });

  // Guards against callers who are turned away because the only peers with links are about to end.
  it("names peers that leave after those that serve, and before those that failed", () => {
    const peers = newPeers(
      new ManualClock(),
      () => ["a", "b"],
      () => ["x", "y"],
    );
    peers.recordFailed("b");
    peers.recordFailed("y");
    expect(peers.select(2)).to.deep.equal(["a", "x"]);
    expect(peers.select(9).slice(2).sort()).to.deep.equal(["b", "y"]);
  });

  it("names peers that failed lately after the others, until they are asked anew", async () => {
    const clock = new ManualClock();
    const peers = newPeers(clock);
    peers.recordFailed("a");
    peers.recordFailed("b");
    for (let index = 0; index < 20; index += 1) {
      expect(peers.select(1)).to.deep.equal(["c"]);
      expect([...peers.select(3)].sort()).to.deep.equal(["a", "b", "c"]);
    }
    await clock.advance(5_001);
    const picked = new Set(Array.from({ length: 40 }, () => peers.select(1)[0]));
    expect(picked.size).to.equal(3);
  });
});
