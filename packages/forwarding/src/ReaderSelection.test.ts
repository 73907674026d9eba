import { expect } from "chai";

import { PeerState, PeerTable } from "./PeerTable.js";
import { ReaderSelection, type ReadAges } from "./ReaderSelection.js";
import { ManualClock } from "./testing/ManualClock.js";

const HOSTS = Array.from({ length: 8 }, (_, index) => `10.0.0.${String(index)}`);
const FRESH: ReadAges = { configMs: 1_000, listMs: 300 };

/** A fleet whose members hear each other's heartbeats at once. */
class Fleet {
  readonly clock = new ManualClock();
  readonly #members: readonly { host: string; peers: PeerTable; turns: ReaderSelection }[];
  readonly #capacities: readonly number[];

  constructor(capacities: readonly number[] = []) {
    this.#capacities = capacities;
    this.#members = HOSTS.map((host, index) => {
      const { clock } = this;
      const peers = new PeerTable({ clock, self: host });
      const self = { host, capacity: capacities[index] ?? 1 };
      return { host, peers, turns: new ReaderSelection({ clock, self, peers }) };
    });
  }

  /** Each of `hosts` tells all others the ages of its reads. */
  beat(hosts: readonly string[], reads: ReadAges, state: PeerState = PeerState.Live): void {
    for (const { host, peers } of this.#members) {
      for (const from of hosts.filter((other) => other !== host)) {
        peers.recordHeartbeat({
          ...{ host: from, incarnation: 1, failureDomain: "z", callerAddress: `${from}:80` },
          capacity: this.#capacities[HOSTS.indexOf(from)] ?? 1,
          ...{ state, revision: 1, listVersion: 1, listDigest: "d", reads, beatMs: 250 },
        });
      }
    }
  }

  /** A peer didn't tell `host` what it read. */
  fail(host: string): void {
    this.#members.find((member) => member.host === host)?.turns.onPeerFailed();
  }

  get readers(): string[] {
    return this.#members.filter(({ turns }) => turns.isReader()).map(({ host }) => host);
  }
}

describe("ReadTurns", () => {
  it("has all processes read before any has", () => {
    const fleet = new Fleet();
    fleet.beat(HOSTS, {});
    expect(fleet.readers).to.deep.equal(HOSTS);
  });

  it("has three processes read for all once they do", () => {
    const fleet = new Fleet();
    fleet.beat(HOSTS, FRESH);
    expect(fleet.readers.length).to.equal(3);
  });

  it("has the strongest processes read", () => {
    const fleet = new Fleet([0.3, 1.3, 0.3, 0.6, 1.3, 0.3, 0.6, 1.3]);
    fleet.beat(HOSTS, FRESH);
    expect(fleet.readers).to.deep.equal([HOSTS[1], HOSTS[4], HOSTS[7]]);
  });

  it("has a process read for a while that a peer didn't tell what it read", async () => {
    const fleet = new Fleet([2, 2, 2, 1]);
    fleet.beat(HOSTS, FRESH);
    fleet.fail(HOSTS[3] ?? "");
    expect(fleet.readers).to.include(HOSTS[3]);
    await fleet.clock.advance(1_600);
    fleet.beat(HOSTS, FRESH);
    expect(fleet.readers).to.not.include(HOSTS[3]);
  });

  const losses: readonly [name: string, reads: ReadAges][] = [
    ["whose list is old", { configMs: 1_000, listMs: 1_700 }],
    ["whose configuration is old", { configMs: 2_700, listMs: 300 }],
  ];
  for (const [name, reads] of losses) {
    it(`doesn't rely on readers ${name}`, () => {
      const fleet = new Fleet();
      fleet.beat(HOSTS, FRESH);
      const first = fleet.readers;
      fleet.beat(first, reads);
      const others = fleet.readers.filter((host) => !first.includes(host));
      expect(others.length).to.equal(3);
    });
  }

  it("replaces readers that fell silent before their reads would be too old", async () => {
    const fleet = new Fleet();
    fleet.beat(HOSTS, FRESH);
    const first = fleet.readers;
    const others = HOSTS.filter((host) => !first.includes(host));
    for (let beat = 0; beat < 5; beat++) {
      await fleet.clock.advance(250);
      fleet.beat(others, FRESH);
    }
    expect(fleet.readers.filter((host) => others.includes(host)).length).to.equal(3);
  });

  it("doesn't rely on readers that leave", () => {
    const fleet = new Fleet();
    fleet.beat(HOSTS, FRESH);
    const first = fleet.readers;
    fleet.beat(first, FRESH, PeerState.Leaving);
    expect(fleet.readers.filter((host) => !first.includes(host)).length).to.equal(3);
  });

  it("has a process read that hears no peer", async () => {
    const fleet = new Fleet();
    fleet.beat(HOSTS, FRESH);
    await fleet.clock.advance(1_200);
    expect(fleet.readers).to.deep.equal(HOSTS);
  });
});
