import { expect } from "chai";

import { Batcher } from "./Batcher.js";
import { PeerState, type PeerIdentity } from "./PeerTable.js";
import { pickRelays } from "./relays.js";
import { ManualClock } from "./testing/ManualClock.js";

const newProcess = (host: string, fields: Partial<PeerIdentity> = {}): PeerIdentity => ({
  ...{ host, incarnation: 1, failureDomain: "a", capacity: 1, callerAddress: `${host}:80` },
  ...{ state: PeerState.Live, revision: 1, listVersion: 1, listDigest: "d", reads: {} },
  beatMs: 250,
  ...fields,
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

describe("pickRelays by rank", () => {
  const domain = ["1", "2", "3"].map((host) => newProcess(host));
  const cases: readonly [rank: number, processes: PeerIdentity[], relay: string][] = [
    [0, domain, "1"],
    [1, domain, "2"],
    [1, [newProcess("1")], "1"],
  ];
  for (const [rank, processes, relay] of cases) {
    it(`picks rank ${String(rank)} of ${String(processes.length)}`, () => {
      expect(pickRelays(processes, rank).map(({ host }) => host)).to.deep.equal([relay]);
    });
  }
});

describe("Batcher", () => {
  it("sends items that arrive shortly after each other in one batch, in order", async () => {
    const clock = new ManualClock();
    const sent: (readonly number[])[] = [];
    const batcher = new Batcher<number>({
      ...{ clock, delayMs: 40, maxItems: 80 },
      send: (items) => sent.push(items),
    });
    batcher.add(1);
    await clock.advance(30);
    batcher.add(2);
    await clock.advance(30);
    batcher.add(3);
    await clock.advance(100);
    expect(sent).to.deep.equal([[1, 2], [3]]);
  });

  it("limits a batch to the size of a datagram", () => {
    const sizes: number[] = [];
    const batcher = new Batcher<number>({
      ...{ clock: new ManualClock(), delayMs: 40, maxItems: 80 },
      send: ({ length }) => sizes.push(length),
    });
    for (let item = 0; item < 200; item++) {
      batcher.add(item);
    }
    expect(sizes).to.deep.equal([80, 80]);
  });
});
