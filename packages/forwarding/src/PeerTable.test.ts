import { expect } from "chai";

import { PeerState, PeerTable, type PeerIdentity } from "./PeerTable.js";
import { isUncertain } from "./members.js";
import { ManualClock } from "./testing/ManualClock.js";

const SELF = "10.0.0.1";

const newIdentity = (host: string): PeerIdentity => ({
  ...{ host, incarnation: 1, failureDomain: "a", capacity: 1, callerAddress: `${host}:80` },
  ...{ state: PeerState.Live, revision: 1, listVersion: 1, listDigest: "", reads: {}, beatMs: 300 },
});

describe("PeerTable: a process that may be cut off", () => {
  const cases: readonly [
    name: string,
    peers: number,
    /** Peers whose heartbeats went on until now, and time since those of the others. */
    heard: number,
    silentMs: number,
    isPartial: boolean,
  ][] = [
    ["that knows no other", 0, 0, 0, false],
    ["that hears all", 62, 62, 0, false],
    ["that hears half", 62, 31, 4_000, false],
    ["that hears less than half", 62, 30, 4_000, true],
    ["that hears none of three", 3, 0, 4_000, true],
    ["whose only other is silent", 1, 0, 4_000, false],
    ["after which more than half have ended", 62, 10, 25_000, false],
  ];
  for (const [name, count, heard, silentMs, isPartial] of cases) {
    it(`tells it of one ${name}: ${String(isPartial)}`, async () => {
      const clock = new ManualClock();
      const table = new PeerTable({ clock, self: SELF });
      const hosts = Array.from({ length: count }, (_, index) => `10.0.1.${String(index)}`);
      hosts.forEach((host) => table.recordHeartbeat(newIdentity(host)));
      await clock.advance(silentMs);
      hosts.slice(0, heard).forEach((host) => table.recordHeartbeat(newIdentity(host)));
      expect(table.getMembers(true).isPartial).to.equal(isPartial);
    });
  }

  it("may own nothing when its only peer is silent", async () => {
    const clock = new ManualClock();
    const table = new PeerTable({ clock, self: SELF });
    table.recordHeartbeat(newIdentity("10.0.1.0"));
    expect(isUncertain(table.getMembers(true))).to.equal(false);
    await clock.advance(4_000);
    expect(isUncertain(table.getMembers(true))).to.equal(true);
  });
});
