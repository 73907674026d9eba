import { newSilentLogger } from "@lycheepulley/telemetry";
import { createClock, type Clock as FakeClock } from "@sinonjs/fake-timers";
import { expect } from "chai";

import { DEFAULT_CALLER_LIMITS } from "../fleetConfig.js";
import { FleetView } from "../FleetView.js";
import { FleetConfigTracker, type FetchedConfig } from "./FleetConfigTracker.js";

const newValue = (revision: unknown, fields: object = {}): object => ({
  ...{ revision, routes: [], pools: [], limits: DEFAULT_CALLER_LIMITS, ...fields },
});
const INVALID = { routes: [{ name: "x" }] };
const PEER = "10.0.0.2";

/** A tracker on a fake clock, and what it logged. */
class TrackerHarness {
  readonly timers: FakeClock = createClock(0);
  readonly view: FleetView;
  readonly tracker: FleetConfigTracker;
  readonly lines: { message: string; fields: Record<string, unknown> }[] = [];

  constructor() {
    const { timers } = this;
    const clock = {
      now: () => timers.now,
      wall: () => timers.now,
      setTimer: (fn: () => void, ms: number) => {
        const id = timers.setTimeout(fn, ms);
        return () => {
          timers.clearTimeout(id);
        };
      },
    };
    const record = (message: string, fields: Record<string, unknown> = {}): void => {
      this.lines.push({ message, fields });
    };
    this.view = new FleetView(clock);
    this.tracker = new FleetConfigTracker({
      ...{ clock, view: this.view, getReadAgeMs: () => 700 },
      logger: { ...newSilentLogger(), info: record, warn: record, error: record },
    });
    this.tracker.start();
  }

  read(value: unknown, ignored: string[] = []): boolean {
    return this.tracker.onRead({ value, ignored, nameField: (path) => `own.${path}` });
  }

  fetch(value: unknown, fields: Partial<FetchedConfig> = {}): boolean {
    return this.tracker.onFetched({ value, from: PEER, announced: 9, ageMs: 40, ...fields });
  }

  hear(revision: number, configMs?: number): void {
    this.tracker.onPeer({ host: PEER, revision, reads: { configMs } });
  }

  find(message: string): Record<string, unknown>[] {
    return this.lines.filter((line) => line.message === message).map(({ fields }) => fields);
  }
}

describe("FleetConfigTracker", () => {
  let harness: TrackerHarness;
  beforeEach(() => {
    harness = new TrackerHarness();
    harness.read(newValue(5));
  });

  const reads: readonly [name: string, values: readonly unknown[], inForce: number][] = [
    ["a newer one", [newValue(7)], 7],
    ["an older one", [newValue(4)], 5],
    ["an invalid one", [newValue(900, INVALID)], 5],
    [
      "a valid one after an invalid one of a higher revision",
      [newValue(900, INVALID), newValue(6)],
      6,
    ],
    ["the same revision, mended", [newValue(8, INVALID), newValue(8)], 8],
    ["a revision that nothing can follow", [newValue(1e300)], 5],
    ["what is no object", ["x", undefined, []], 5],
  ];
  for (const [name, values, inForce] of reads) {
    it(`has the right revision in force after ${name}`, () => {
      values.forEach((value) => harness.read(value));
      expect(harness.view.revision).to.equal(inForce);
    });
  }

  it("logs a refusal once, with the fields as their writer names them", () => {
    harness.read(newValue(900, INVALID));
    harness.read(newValue(900, INVALID));
    const [refused, ...more] = harness.find("configuration refused");
    expect(more).to.deep.equal([]);
    expect(refused).to.include({ revision: 900, inForce: 5, via: "own read" });
    expect((refused?.["faults"] as string[])[0]).to.match(/^own\.routes\.0\.host: /);
    expect(harness.tracker.status).to.include({ refused: 1, revision: 5 });
  });

  it("doesn't fetch again what it refused of a peer, and fetches what comes after", () => {
    expect(harness.tracker.wants(9)).to.equal(true);
    expect(harness.fetch(newValue(9, INVALID))).to.equal(false);
    expect([9, 10].map((revision) => harness.tracker.wants(revision))).to.deep.equal([false, true]);
    expect(harness.fetch(newValue(10), { announced: 10 })).to.equal(true);
  });

  // A peer that started again may serve less than it had announced.
  it("goes on asking for a revision when a peer served an older one", () => {
    expect(harness.fetch(newValue(4))).to.equal(false);
    expect(harness.tracker.wants(9)).to.equal(true);
  });

  it("logs by which way and how late a configuration came", () => {
    harness.hear(9);
    harness.timers.tick(300);
    harness.fetch(newValue(9));
    expect(harness.find("configuration in force").at(-1)).to.include({
      ...{ revision: 9, before: 5, via: PEER, ageMs: 300 },
    });
  });

  it("reports that it is behind a peer, and why", () => {
    harness.hear(9);
    harness.tracker.onFetchFailed(PEER, "refused");
    harness.timers.tick(2_000);
    const [behind, ...more] = harness.find("configuration behind");
    expect(more).to.deep.equal([]);
    expect(behind).to.include({ revision: 5, newest: 9, peer: PEER, readAgeMs: 700 });
    expect(behind?.["reason"]).to.include("refused");
    expect(harness.tracker.status.behindMs).to.equal(2_000);
    harness.fetch(newValue(9));
    expect(harness.tracker.status.behindMs).to.equal(0);
  });

  it("reports a configuration that nobody confirms, until somebody does", () => {
    harness.timers.tick(4_000);
    harness.hear(5, 100);
    harness.timers.tick(4_500);
    expect(harness.find("configuration unconfirmed")).to.deep.equal([]);
    harness.timers.tick(1_500);
    expect(harness.find("configuration unconfirmed")).to.have.length(1);
    harness.tracker.onSourceRead();
    expect(harness.find("configuration confirmed again")).to.have.length(1);
  });

  it("names ignored fields when they change", () => {
    harness.read(newValue(6), ["a"]);
    harness.fetch(newValue(7));
    harness.read(newValue(8), ["a"]);
    harness.read(newValue(9), ["a", "b"]);
    const fields = harness.find("fields of the configuration ignored").map((one) => one["fields"]);
    expect(fields).to.deep.equal([["a"], ["a", "b"]]);
  });
});
