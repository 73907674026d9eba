import { expect } from "chai";

import { LoadRelay, pickRelays, type RelayedChange } from "./LoadRelay.js";
import { PeerState, type PeerIdentity } from "./PeerTable.js";
import { ManualClock } from "./testing/ManualClock.js";

const newProcess = (host: string, fields: Partial<PeerIdentity> = {}): PeerIdentity => ({
  ...{ host, incarnation: 1, failureDomain: "a", capacity: 1, callerAddress: `${host}:80` },
  ...{ state: PeerState.Live, revision: 1, listVersion: 1, listDigest: "d", reads: {} },
  beatMs: 250,
  ...fields,
});
const newChange = (seq: number): RelayedChange => ({
  ...{ host: "h", incarnation: 1, seq, changed: [], writing: [], ended: [] },
});

describe("pickRelays", () => {
  const cases: readonly [name: string, processes: PeerIdentity[], relays: string[]][] = [
    [
      "picks the process with the most capacity in each failure domain",
      [
        newProcess("1", { capacity: 0.3 }),
        newProcess("2", { capacity: 1.3 }),
        newProcess("3", { failureDomain: "b", capacity: 0.5 }),
      ],
      ["2", "3"],
    ],
    ["picks the first host among equals", [newProcess("2"), newProcess("1")], ["1"]],
    [
      "skips processes that drain or aren't ready",
      [
        newProcess("1", { state: PeerState.Leaving, capacity: 2 }),
        newProcess("2", { state: PeerState.Joining, capacity: 2 }),
        newProcess("3"),
      ],
      ["3"],
    ],
  ];
  for (const [name, processes, relays] of cases) {
    it(name, () => {
      expect(pickRelays(processes).map(({ host }) => host)).to.deep.equal(relays);
    });
  }
});

describe("LoadRelay", () => {
  it("sends changes that arrive shortly after each other in one batch, in order", async () => {
    const clock = new ManualClock();
    const sent: number[][] = [];
    const relay = new LoadRelay({
      clock,
      send: (changes) => sent.push(changes.map(({ seq }) => seq)),
    });
    relay.add(newChange(1));
    await clock.advance(30);
    relay.add(newChange(2));
    await clock.advance(30);
    relay.add(newChange(3));
    await clock.advance(100);
    expect(sent).to.deep.equal([[1, 2], [3]]);
  });

  it("limits a batch to the size of a datagram", () => {
    const sizes: number[] = [];
    const relay = new LoadRelay({
      clock: new ManualClock(),
      send: ({ length }) => sizes.push(length),
    });
    for (let seq = 0; seq < 200; seq++) {
      relay.add(newChange(seq));
    }
    expect(sizes).to.deep.equal([80, 80]);
  });
});
