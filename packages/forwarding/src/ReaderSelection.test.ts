import { expect } from "chai";

import { PeerState, PeerTable, type ReadAges } from "./PeerTable.js";
import { ReaderSelection } from "./ReaderSelection.js";
import type { ListEpoch } from "./sources/listPosition.js";
import { ManualClock } from "./testing/ManualClock.js";

const HOSTS = Array.from({ length: 8 }, (_, index) => `10.0.0.${String(index)}`);
const FRESH: ReadAges = { configMs: 1_000, listMs: 300 };

/** A fleet whose members receive each other's heartbeats at once. */
class Fleet {
  readonly clock = new ManualClock();
  readonly #members: readonly { host: string; peers: PeerTable; selection: ReaderSelection }[];
  readonly #capacities: readonly number[];
  /** Epoch of the list that every member has. */
  listEpoch = 0;

  constructor(capacities: readonly number[] = [], hosts: readonly string[] = HOSTS) {
    this.#capacities = capacities;
    this.#members = hosts.map((host, index) => {
      const { clock } = this;
      const peers = new PeerTable({ clock, self: host });
      const self = { host, capacity: capacities[index] ?? 1 };
      const getListEpoch = (): ListEpoch => ({ epoch: this.listEpoch });
      return { host, peers, selection: new ReaderSelection({ clock, self, peers, getListEpoch }) };
    });
  }

  /** Sends heartbeats with the ages of their reads from `hosts` to all others. */
  sendHeartbeats(
    hosts: readonly string[],
    reads: ReadAges,
    state: PeerState = PeerState.Live,
    listEpoch?: number,
  ): void {
    for (const { host, peers } of this.#members) {
      for (const from of hosts.filter((other) => other !== host)) {
        peers.recordHeartbeat({
          ...{ host: from, incarnation: 1, failureDomain: "z", callerAddress: `${from}:80` },
          capacity: this.#capacities[HOSTS.indexOf(from)] ?? 1,
          ...{ state, revision: 1, listVersion: 1, listDigest: "d", reads, beatMs: 250, listEpoch },
        });
      }
    }
  }

  /** A peer fails to share with `host` what it read. */
  failPeerOf(host: string): void {
    this.#members.find((member) => member.host === host)?.selection.onPeerFailed();
  }

  get readers(): string[] {
    return this.#members.filter(({ selection }) => selection.isReader()).map(({ host }) => host);
  }
}

describe("ReaderSelection", () => {
  it("makes all processes readers before any has read", () => {
    const fleet = new Fleet();
    fleet.sendHeartbeats(HOSTS, {});
    expect(fleet.readers).to.deep.equal(HOSTS);
  });

  it("selects three readers once all processes have read", () => {
    const fleet = new Fleet();
    fleet.sendHeartbeats(HOSTS, FRESH);
    expect(fleet.readers.length).to.equal(3);
  });

  it("selects the processes with the most capacity", () => {
    const fleet = new Fleet([0.3, 1.3, 0.3, 0.6, 1.3, 0.3, 0.6, 1.3]);
    fleet.sendHeartbeats(HOSTS, FRESH);
    expect(fleet.readers).to.deep.equal([HOSTS[1], HOSTS[4], HOSTS[7]]);
  });

  it("makes a process a reader for a while after a peer failed to share what it read", async () => {
    const fleet = new Fleet([2, 2, 2, 1]);
    fleet.sendHeartbeats(HOSTS, FRESH);
    fleet.failPeerOf(HOSTS[3] ?? "");
    expect(fleet.readers).to.include(HOSTS[3]);
    await fleet.clock.advance(1_600);
    fleet.sendHeartbeats(HOSTS, FRESH);
    expect(fleet.readers).to.not.include(HOSTS[3]);
  });

  const stale: readonly [name: string, reads: ReadAges][] = [
    ["whose list is stale", { configMs: 1_000, listMs: 1_700 }],
    ["whose configuration is stale", { configMs: 2_700, listMs: 300 }],
  ];
  for (const [name, reads] of stale) {
    it(`replaces readers ${name}`, () => {
      const fleet = new Fleet();
      fleet.sendHeartbeats(HOSTS, FRESH);
      const first = fleet.readers;
      fleet.sendHeartbeats(first, reads);
      const others = fleet.readers.filter((host) => !first.includes(host));
      expect(others.length).to.equal(3);
    });
  }

  it("replaces readers that fall silent before their reads become stale", async () => {
    const fleet = new Fleet();
    fleet.sendHeartbeats(HOSTS, FRESH);
    const first = fleet.readers;
    const others = HOSTS.filter((host) => !first.includes(host));
    for (let beat = 0; beat < 5; beat++) {
      await fleet.clock.advance(250);
      fleet.sendHeartbeats(others, FRESH);
    }
    expect(fleet.readers.filter((host) => others.includes(host)).length).to.equal(3);
  });

  it("replaces readers that drain", () => {
    const fleet = new Fleet();
    fleet.sendHeartbeats(HOSTS, FRESH);
    const first = fleet.readers;
    fleet.sendHeartbeats(first, FRESH, PeerState.Leaving);
    expect(fleet.readers.filter((host) => !first.includes(host)).length).to.equal(3);
  });

  // Guards against a fleet that trusts readers which don't know that the store returned from a copy.
  it("row readers: replaces those whose list is of an older epoch", () => {
    const fleet = new Fleet();
    fleet.listEpoch = 2;
    fleet.sendHeartbeats(HOSTS, FRESH, PeerState.Live, 2);
    const first = fleet.readers;
    fleet.sendHeartbeats(first, FRESH, PeerState.Live, 1);
    expect(fleet.readers.filter((host) => !first.includes(host)).length).to.equal(3);
  });

  // Guards against a list that no process reads any more while old and new builds run together.
  it("row readers: doesn't rely on peers of a build without epochs", () => {
    const fleet = new Fleet();
    fleet.listEpoch = 2;
    fleet.sendHeartbeats(HOSTS, FRESH);
    expect(fleet.readers).to.deep.equal(HOSTS);
  });

  it("makes a process a reader when it gets no heartbeats", async () => {
    const fleet = new Fleet();
    fleet.sendHeartbeats(HOSTS, FRESH);
    await fleet.clock.advance(1_200);
    expect(fleet.readers).to.deep.equal(HOSTS);
  });

  // Otherwise a list that is old for a moment makes each of 90 processes read the sources.
  it("replaces one of three readers in a large fleet by few at first, and by more until there are enough", async () => {
    const hosts = Array.from({ length: 48 }, (_, index) => `10.0.1.${String(index)}`);
    const fleet = new Fleet([], hosts);
    fleet.sendHeartbeats(hosts, FRESH);
    const first = fleet.readers;
    const rest = hosts.filter((host) => !first.includes(host));
    const counts: number[] = [];
    for (let step = 0; step < 5; step++) {
      fleet.sendHeartbeats(rest, { configMs: 9_000, listMs: 9_000 });
      fleet.sendHeartbeats(first.slice(0, 2), FRESH);
      fleet.sendHeartbeats(first.slice(2), { configMs: 1_000, listMs: 1_700 });
      counts.push(fleet.readers.length);
      await fleet.clock.advance(400);
    }
    expect(counts).to.deep.equal([6, 12, 24, 48, 48]);
    fleet.sendHeartbeats(first, FRESH);
    expect(fleet.readers).to.deep.equal(first);
  });

  it("replaces all readers of a large fleet by all others at once", () => {
    const hosts = Array.from({ length: 48 }, (_, index) => `10.0.1.${String(index)}`);
    const fleet = new Fleet([], hosts);
    fleet.sendHeartbeats(hosts, { configMs: 9_000, listMs: 9_000 });
    expect(fleet.readers).to.deep.equal(hosts);
  });
});
