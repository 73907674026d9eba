import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { FleetView } from "../FleetView.js";
import { ManualClock } from "../testing/ManualClock.js";
import { newUpstream } from "../testing/samples.js";
import type { EvacuationStatement } from "./evacuationList.js";
import { EvacuationTracker } from "./EvacuationTracker.js";

/** What a process hears at a time: a list that it read, a read without a change, or a peer's statement. */
type Heard =
  | { readonly atMs: number; readonly read: EvacuationStatement }
  | { readonly atMs: number; readonly unchanged: true }
  | {
      readonly atMs: number;
      readonly peer: EvacuationStatement | undefined;
      readonly ageMs?: number;
    };

const state = (
  epoch: number,
  version: number,
  domains: readonly string[],
  held?: string[],
): EvacuationStatement => ({ epoch, version, domains: [...domains], ...(held && { held }) });
const read = (atMs: number, ...args: Parameters<typeof state>): Heard => ({
  ...{ atMs, read: state(...args) },
});
const peer = (atMs: number, ...args: Parameters<typeof state>): Heard => ({
  ...{ atMs, peer: state(...args), ageMs: 100 },
});
const unchanged = (atMs: number): Heard => ({ atMs, unchanged: true });

const hear = (tracker: EvacuationTracker, heard: Heard): boolean => {
  if ("read" in heard) {
    return tracker.onRead(heard.read);
  }
  return "peer" in heard
    ? tracker.onPeer({
        ...{ host: "peer", evacuations: heard.peer, reads: { configMs: heard.ageMs } },
      })
    : tracker.onUnchanged();
};

describe("evacuations", () => {
  const cases: readonly [name: string, heard: readonly Heard[], inForce: string[]][] = [
    ["a read puts them in force", [read(0, 1, 5, ["a"])], ["a"]],
    ["a newer read ends them", [read(0, 1, 5, ["a"]), read(9, 1, 6, ["b"])], ["b"]],
    ["an older one says nothing", [read(0, 1, 5, ["a"]), read(9, 1, 4, [])], ["a"]],
    ["a peer's newer statement counts", [read(0, 1, 5, []), peer(9, 1, 6, ["a"])], ["a"]],
    ["a peer's older one doesn't", [read(0, 1, 5, ["a"]), peer(9, 1, 4, [])], ["a"]],
    ["a process that starts learns them", [peer(0, 1, 6, ["a"])], ["a"]],
    [
      "a peer that states none says nothing",
      [read(0, 1, 5, ["a"]), { atMs: 9, peer: undefined }],
      ["a"],
    ],
    ["one that an older copy lacks is kept", [read(0, 1, 5, ["a"]), read(9, 2, 3, [])], ["a"]],
    [
      "it is kept while the service is out again",
      [read(0, 1, 5, ["a"]), read(9, 2, 3, []), peer(6_000, 1, 5, [])],
      ["a"],
    ],
    [
      "it ends with a read 2.5 s later",
      [read(0, 1, 5, ["a"]), read(9, 2, 3, []), unchanged(2_509)],
      [],
    ],
    [
      "it ends at once when it is asked for again and taken back",
      [read(0, 1, 5, ["a"]), read(9, 2, 3, []), read(500, 2, 4, ["a"]), read(900, 2, 5, [])],
      [],
    ],
    [
      "one that was taken back isn't put in force by an older copy",
      [read(0, 1, 5, ["a"]), read(5, 1, 6, []), read(9, 2, 3, ["a"])],
      [],
    ],
    [
      "it is when it is still listed 2.5 s later",
      [read(0, 1, 5, ["a"]), read(5, 1, 6, []), read(9, 2, 3, ["a"]), unchanged(2_600)],
      ["a"],
    ],
    [
      "it is when it is asked for anew",
      [...[read(0, 1, 5, ["a"]), read(5, 1, 6, []), read(9, 2, 3, [])], read(20, 2, 4, ["a"])],
      ["a"],
    ],
    ["a new one in an older copy counts", [read(0, 1, 5, []), read(9, 2, 3, ["a"])], ["a"]],
    [
      "a process that starts after the return learns what was kept",
      [read(0, 2, 3, []), peer(9, 2, 3, [], ["a"])],
      ["a"],
    ],
    [
      "it learns it from a peer that hasn't seen the return",
      [read(0, 2, 3, []), peer(9, 1, 5, ["a"])],
      ["a"],
    ],
    ["such a peer says nothing later", [read(0, 2, 3, []), peer(2_600, 1, 5, ["a"])], []],
    [
      "what was taken back since isn't kept",
      [read(0, 2, 3, ["a"]), read(5, 2, 4, []), peer(9, 2, 4, [], ["a"])],
      [],
    ],
  ];
  for (const [name, heard, inForce] of cases) {
    it(name, async () => {
      const [clock, view] = [new ManualClock(), new FleetView()];
      const logger = newSilentLogger();
      const tracker = new EvacuationTracker({ clock, view, logger, isSourced: true });
      for (const one of heard) {
        await clock.advance(one.atMs - clock.now());
        hear(tracker, one);
      }
      const isEvacuated = (failureDomain: string): boolean => view.isEvacuated({ failureDomain });
      expect(["a", "b"].filter(isEvacuated)).to.deep.equal(inForce);
      expect(tracker.isKnown).to.equal(true);
    });
  }

  const names: readonly [name: string, domain: string][] = [
    ["long", "d".repeat(60)],
    ["of several bytes a character", "\u00e9\u4e2d".repeat(20)],
    ["escaped in messages", "\u0001".repeat(40)],
  ];
  for (const [name, domain] of names) {
    it(`are stated in few bytes, those with upstreams first: names ${name}`, () => {
      const [clock, view] = [new ManualClock(), new FleetView()];
      const logger = newSilentLogger();
      const tracker = new EvacuationTracker({ clock, view, logger, isSourced: true });
      const upstreams = [newUpstream("u1", { failureDomain: "z" })];
      view.applyUpstreams({ version: 1, upstreams }, 0, new Set());
      const domains = Array.from({ length: 100 }, (_, at) => domain + String(at));
      tracker.onRead(state(1, 5, [...domains, "z"]));
      // Thirty heartbeats have to fit into a datagram of 60,000 bytes.
      expect(Buffer.byteLength(JSON.stringify(tracker.statement))).to.be.below(1_000);
      expect(tracker.statement?.domains[0]).to.equal("z");
    });
  }

  it("are read by a process itself once nobody confirms them", async () => {
    const [clock, view] = [new ManualClock(), new FleetView()];
    const tracker = new EvacuationTracker({
      clock,
      view,
      logger: newSilentLogger(),
      isSourced: true,
    });
    tracker.onRead(state(1, 5, ["a"]));
    await clock.advance(5_001);
    expect(tracker.isUnconfirmed).to.equal(true);
    hear(tracker, peer(clock.now(), 1, 5, ["a"]));
    expect(tracker.isUnconfirmed).to.equal(false);
  });
});
