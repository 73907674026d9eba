import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { DepartedUpstreams } from "./DepartedUpstreams.js";
import type { Upstream } from "./fleetConfig.js";
import { FleetView } from "./FleetView.js";
import type { ListPosition } from "./sources/listPosition.js";
import { ManualClock } from "./testing/ManualClock.js";
import { newUpstream } from "./testing/samples.js";
import { UpstreamListTracker } from "./UpstreamListTracker.js";

const BEAT_MS = 1_200;
/** Interval at which a process sees a list. */
const LIST_MS = 550;

/** An entry of a list: an id, with `-` after it while the upstream drains. */
type Entry = string;

const toUpstream = (entry: Entry): Upstream =>
  newUpstream(entry.replace("-", ""), { isLeaving: entry.endsWith("-") });

/** A process that gets lists, on a manual clock. */
class TrackerHarness {
  readonly clock = new ManualClock();
  readonly view = new FleetView();
  readonly lines: object[] = [];
  restored = 0;
  readonly #tracker: UpstreamListTracker;
  #version = 1_000;

  constructor() {
    this.#tracker = new UpstreamListTracker({
      ...{ clock: this.clock, view: this.view, upstreamBeatMs: BEAT_MS },
      logger: {
        ...newSilentLogger(),
        info: (message, fields) => {
          this.lines.push({ message, ...fields });
        },
        warn: (message, fields) => {
          this.lines.push({ message, ...fields });
        },
      },
      onRestored: () => {
        this.restored += 1;
      },
    });
  }

  /** Applies a list; each one has a greater version than the one before, unless given. */
  apply(
    epoch: number | undefined,
    entries: readonly Entry[],
    version?: number,
    sentMs?: number,
  ): boolean {
    this.#version = version ?? this.#version + 1;
    const upstreams = entries.map(toUpstream);
    const list = { epoch, version: this.#version, upstreams };
    return this.#tracker.apply(list, this.clock.now(), sentMs);
  }

  /** A peer confirms the list, which it read `ageMs` ago. */
  confirm(position: ListPosition, ageMs = 0): void {
    this.#tracker.confirm(position, this.clock.now() - ageMs);
  }

  /** Applies the same list at the usual interval for `ms`. */
  async keepApplying(ms: number, epoch: number, entries: readonly Entry[]): Promise<void> {
    for (let leftMs = ms; leftMs > 0; leftMs -= LIST_MS) {
      this.apply(epoch, entries);
      await this.clock.advance(Math.min(LIST_MS, leftMs));
    }
  }

  get available(): string {
    return this.view
      .getAvailable("p")
      .map(({ id }) => id)
      .sort()
      .join(" ");
  }
}

describe("UpstreamListTracker when the listing service returns from an older copy", () => {
  // Guards against a process that drops all lists until the offsets have grown past the old ones.
  it("row upstream list: applies a list of a newer epoch although its version is lower", () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a"], 900);
    harness.apply(2, ["a", "b"], 40);
    expect(harness.available).to.equal("a b");
    expect(harness.view.list).to.include({ epoch: 2, version: 40 });
  });

  // Guards against an answer of before the return that arrives late and overrules a newer one.
  it("row upstream list: drops a list of an older epoch although its version is greater", () => {
    const harness = new TrackerHarness();
    harness.apply(2, ["a"], 40);
    expect(harness.apply(1, ["b"], 900)).to.equal(false);
    expect(harness.available).to.equal("a");
  });

  const missing: readonly [name: string, sightMs: number, isFromPeer: boolean][] = [
    ["that sees the return without an outage", LIST_MS, false],
    ["that sees the return after an outage", 4_000, false],
    ["that gets the list from a peer", LIST_MS, true],
  ];
  for (const [name, sightMs, isFromPeer] of missing) {
    // Guards against live upstreams that are lost for a second or two after each return.
    it(`row missing upstreams: a process ${name} uses them for two seconds more`, async () => {
      const harness = new TrackerHarness();
      await harness.keepApplying(2_000, 1, ["a", "b"]);
      await harness.clock.advance(sightMs);
      harness.apply(2, ["a"], 40);
      expect(harness.available).to.equal("a b");
      await harness.clock.advance(1_900);
      if (isFromPeer) {
        harness.confirm({ epoch: 2, version: 41 });
      } else {
        harness.apply(2, ["a"]);
      }
      expect(harness.available).to.equal("a b");
      await harness.clock.advance(200);
      harness.confirm({ epoch: 2, version: 60 });
      expect(harness.available).to.equal("a");
    });
  }

  it("row missing upstreams: one that is listed again in time stays in use throughout", async () => {
    const harness = new TrackerHarness();
    await harness.keepApplying(2_000, 1, ["a", "b"]);
    await harness.keepApplying(1_500, 2, ["a"]);
    expect(harness.available).to.equal("a b");
    await harness.keepApplying(5_000, 2, ["a", "b"]);
    expect(harness.available).to.equal("a b");
  });

  // Guards against requests to an upstream after the end of its drain.
  it("row draining upstreams: one that drained stays draining when listed as before", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    harness.apply(1, ["a", "b-"]);
    await harness.keepApplying(90_000, 2, ["a", "b"]);
    expect(harness.available).to.equal("a");
    expect(harness.view.upstreams.get("b")).to.include({ isLeaving: true });
  });

  it("row draining upstreams: one that drained and left stays draining", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    harness.apply(1, ["a", "b-"]);
    await harness.keepApplying(5_000, 1, ["a"]);
    await harness.keepApplying(20_000, 2, ["a", "b"]);
    expect(harness.available).to.equal("a");
  });

  it("row draining upstreams: within one epoch the newest list is believed", () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b-"]);
    harness.apply(1, ["a", "b"]);
    expect(harness.available).to.equal("a b");
  });

  // Guards against an upstream that is revived by its entry in the copy until that expires.
  it("row upstreams that left: one is held back until its old entry has expired", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    await harness.keepApplying(1_000, 1, ["a"]);
    await harness.keepApplying(3_600 + 1_500, 2, ["a", "b"]);
    expect(harness.available).to.equal("a");
    await harness.keepApplying(3_000, 2, ["a"]);
    expect(harness.available).to.equal("a");
  });

  it("row upstreams that left: one that is still listed after that is used again", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    await harness.keepApplying(1_000, 1, ["a"]);
    harness.apply(2, ["a", "b"]);
    await harness.clock.advance(6_100);
    harness.confirm({ epoch: 2, version: 2_000 });
    expect(harness.available).to.equal("a b");
  });

  const expired: readonly [name: string, epoch: number][] = [
    ["without a return from a copy", 1],
    ["with one", 2],
  ];
  for (const [name, epoch] of expired) {
    // "Back within about two seconds": at times a little later than the retention.
    it(`row expired entries: one that is listed late after an outage ${name} is used at once`, async () => {
      const harness = new TrackerHarness();
      await harness.keepApplying(2_000, 1, ["a", "b"]);
      await harness.clock.advance(4_000);
      await harness.keepApplying(2_700, epoch, ["a"]);
      expect(harness.available).to.equal("a");
      harness.apply(epoch, ["a", "b"]);
      expect(harness.available).to.equal("a b");
    });
  }

  it("row expired entries: one that expired and came back within an epoch is used at once", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    await harness.keepApplying(5_000, 1, ["a"]);
    harness.apply(1, ["a", "b"]);
    expect(harness.available).to.equal("a b");
  });

  it("row two returns in a row: retention and memory begin anew with the second", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b", "c", "d"]);
    harness.apply(1, ["a", "b", "c-"]);
    await harness.keepApplying(1_500, 2, ["a", "c", "d"]);
    expect(harness.available).to.equal("a b");
    await harness.keepApplying(1_500, 3, ["a", "c", "d"]);
    expect(harness.available).to.equal("a b");
    await harness.keepApplying(1_000, 3, ["a", "c-"]);
    expect(harness.available).to.equal("a");
  });

  // Guards against upstreams that are dropped while a second outage keeps them from being listed.
  it("row two returns in a row: time without a newer list doesn't end the retention", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b", "c"]);
    harness.apply(1, ["a", "b"]);
    harness.apply(2, ["a", "c"], 40);
    await harness.clock.advance(8_000);
    harness.confirm({ epoch: 2, version: 40 }, 7_900);
    expect(harness.available).to.equal("a b");
    harness.confirm({ epoch: 2, version: 41 });
    expect(harness.available).to.equal("a b c");
  });

  it("row peers: one in an older epoch doesn't confirm the list", () => {
    const harness = new TrackerHarness();
    harness.apply(2, ["a"], 40);
    harness.confirm({ epoch: 1, version: 900 });
    expect(harness.view.list).to.include({ epoch: 2, version: 40 });
  });

  it("row peers: one in a newer epoch with the same entries moves the list there", () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a"], 900);
    harness.confirm({ epoch: 2, version: 40 });
    expect(harness.view.list).to.include({ epoch: 2, version: 40 });
    expect(harness.restored).to.equal(1);
  });

  it("row a process that starts just then: the first list is no return", () => {
    const harness = new TrackerHarness();
    harness.apply(7, ["a"], 40);
    expect(harness.restored).to.equal(0);
  });

  it("logs one line for each epoch, with what was kept", () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b", "c", "d"], 900);
    harness.apply(1, ["a", "b", "c-"], 901);
    harness.lines.length = 0;
    [40, 41, 42].forEach((version) => harness.apply(2, ["a", "c", "d"], version));
    const lines = harness.lines.filter((line) => JSON.stringify(line).includes("restored"));
    expect(lines).to.deep.equal([
      {
        ...{ message: "store restored from an older copy", step: "membership" },
        ...{ epochBefore: 1, epoch: 2, listVersionBefore: 901, listVersion: 40 },
        ...{ revision: -1, size: 3, retained: ["b"], heldBack: ["d"], leaving: ["c"] },
        readAnew: ["configuration", "upstream list", "peer list"],
      },
    ]);
  });
});

describe("UpstreamListTracker with answers that are out of order", () => {
  // Guards against an answer that arrives late and overrules a newer one of the same epoch.
  it("drops a list with a lower version, and says so", () => {
    const harness = new TrackerHarness();
    const versions = [1, 5, 4, 6].filter((version) =>
      harness.apply(1, [`u${String(version)}`], version),
    );
    expect(versions).to.deep.equal([1, 5, 6]);
    expect(harness.lines).to.deep.include({
      ...{ message: "upstream list older than the one in force", step: "membership" },
      ...{ epoch: 1, listVersion: 4, isDirect: false, epochInForce: 1, listVersionInForce: 5 },
      ageMs: 0,
    });
  });
});

describe("UpstreamListTracker with a slow service", () => {
  // Guards against requests to an upstream that left, as each list seems to follow an outage.
  it("drops an upstream that left, although lists come seconds apart", async () => {
    const harness = new TrackerHarness();
    for (const entries of [["a", "b"], ["a", "b"], ["a"], ["a"], ["a"]]) {
      harness.apply(1, entries);
      await harness.clock.advance(3_000);
    }
    expect(harness.available).to.equal("a");
  });

  it("drops it at once when the list is known to be slow", async () => {
    const harness = new TrackerHarness();
    harness.apply(1, ["a", "b"]);
    await harness.clock.advance(3_000);
    harness.apply(1, ["a"], undefined, harness.clock.now() - 2_500);
    expect(harness.available).to.equal("a");
  });
});

describe("DepartedUpstreams", () => {
  const NONE = { heldBack: new Set<string>(), leaving: new Set<string>() };

  it("row memory: is bounded in time and count", async () => {
    const clock = new ManualClock();
    const departed = new DepartedUpstreams({ clock, upstreamBeatMs: BEAT_MS });
    const record = (ids: readonly string[]): void => {
      const upstreams = ids.map((id) => newUpstream(id));
      const inUse = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
      departed.record({ epoch: 1, version: 1, upstreams }, NONE, inUse);
    };
    const fleet = Array.from({ length: 6_000 }, (_, index) => `u${String(index)}`);
    record(fleet);
    record([]);
    expect(departed.size).to.equal(4_096);
    await clock.advance(61_000);
    record([]);
    expect(departed.size).to.equal(0);
  });
});
