import { expect } from "chai";

import { PlacementFailure } from "../Placer.js";
import { RoomFleet, type Asked } from "../testing/RoomFleet.js";

/** Many fake timers are slow on a busy machine; the results don't depend on real time. */
const TIMEOUT_MS = 30_000;
const KV_TOKENS = 344_250;
const ENGINE = { kvTokens: KV_TOKENS, slots: 8, msPerMillionPairs: 0.01 };
/** Needs most of the memory of two upstreams. */
const HUGE = 500_000;

const newFleet = (options: { processes: number; upstreams: number }): RoomFleet =>
  new RoomFleet({ ...options, engine: ENGINE });

const isPlaced = ({ placement }: Asked): boolean =>
  placement !== undefined && typeof placement !== "string";

describe("room: a prompt that no upstreams hold", () => {
  const cases: readonly [name: string, tokens: number, upstreams: number][] = [
    ["more than the whole pool has", 700_000, 2],
    ["more than an upstream beside its helpers' share", 600_000, 2],
    ["more than one upstream", 330_000, 1],
  ];
  for (const [name, tokens, upstreams] of cases) {
    it(`is rejected on arrival: ${name}`, async () => {
      const fleet = newFleet({ processes: 2, upstreams });
      const asked = fleet.ask({ tokens, timeoutMs: 60_000 });
      await fleet.clock.advance(0);
      expect(asked).to.include({ placement: PlacementFailure.TooLarge, decidedMs: 0 });
      expect(fleet.getRoom()?.rejected).to.deep.equal({ too_large: 1 });
    });
  }
});

describe("room: two prompts that each need most of the memory", function () {
  this.timeout(TIMEOUT_MS);
  const orders: readonly [name: string, processes: readonly [number, number]][] = [
    ["at one process", [0, 0]],
    ["at two processes", [0, 1]],
    ["at two processes, the other way round", [1, 0]],
  ];
  for (const [name, [first, second]] of orders) {
    // Guards against two that hold a part of the memory each and wait for the rest.
    it(`get it one after the other: ${name}`, async () => {
      const fleet = newFleet({ processes: 2, upstreams: 2 });
      fleet.ask({ tokens: 300_000, outputTokens: 1_000 });
      await fleet.clock.advance(10);
      fleet.ask({ tokens: 300_000, outputTokens: 2_000, process: 1 });
      await fleet.clock.advance(10);
      const one = fleet.ask({ tokens: HUGE, process: first, timeoutMs: 30_000 });
      const other = fleet.ask({ tokens: HUGE, process: second, timeoutMs: 30_000 });
      await fleet.clock.advance(25_000);
      expect([one, other].every(isPlaced)).to.equal(true);
      expect(Math.abs((one.decidedMs ?? 0) - (other.decidedMs ?? 0))).to.be.above(1_000);
      expect(fleet.mostUsedShare).to.be.at.most(1);
      expect(fleet.getRoom(first)?.promises["lapsed"]).to.equal(0);
    });
  }
});

describe("room: a long prompt behind a stream of shorter ones", function () {
  this.timeout(TIMEOUT_MS);
  /** Has prompts of 90,000 tokens arrive for some time, and one that needs an upstream's memory. */
  const play = async (): Promise<{ long: Asked; others: Asked[] }> => {
    const fleet = newFleet({ processes: 4, upstreams: 2 });
    const others: Asked[] = [];
    let long: Asked | undefined;
    for (let count = 0; count < 40; count++) {
      others.push(fleet.ask({ tokens: 90_000, process: count % 4, outputTokens: 1_000 }));
      if (count === 10) {
        long = fleet.ask({ tokens: 310_000, process: 3 });
      }
      await fleet.clock.advance(200);
    }
    await fleet.clock.advance(10_000);
    if (!long) {
      throw new Error("not asked");
    }
    return { long, others };
  };

  it("gets its memory although later ones would take it first", async () => {
    const { long, others } = await play();
    expect(isPlaced(long)).to.equal(true);
    expect(long.decidedMs).to.be.below(4_000);
    expect(others.filter(isPlaced).length).to.be.at.least(36);
  });

  it("lets short prompts pass that end before it needs the memory", async () => {
    const fleet = newFleet({ processes: 2, upstreams: 1 });
    fleet.ask({ tokens: 250_000, outputTokens: 4_000 });
    await fleet.clock.advance(10);
    const long = fleet.ask({
      ...{ tokens: 300_000, process: 1, timeoutMs: 30_000, targetMs: 14_000 },
    });
    await fleet.clock.advance(100);
    const quick = fleet.ask({ tokens: 5_000, outputTokens: 100 });
    const slow = fleet.ask({ tokens: 60_000, outputTokens: 6_000, timeoutMs: 30_000 });
    await fleet.clock.advance(0);
    expect(isPlaced(quick)).to.equal(true);
    expect(isPlaced(slow)).to.equal(false);
    await fleet.clock.advance(20_000);
    expect(isPlaced(long) && isPlaced(slow)).to.equal(true);
    expect(slow.decidedMs).to.be.above(long.decidedMs ?? Infinity);
  });
});

describe("room: a prompt for which room comes too late", () => {
  const newFullFleet = async (): Promise<RoomFleet> => {
    const fleet = newFleet({ processes: 2, upstreams: 1 });
    fleet.ask({ tokens: 250_000, outputTokens: 4_000 });
    await fleet.clock.advance(10);
    return fleet;
  };

  it("is rejected at once, with the time at which there is room", async () => {
    const fleet = await newFullFleet();
    const asked = fleet.ask({ tokens: 200_000, timeoutMs: 3_000, process: 1 });
    await fleet.clock.advance(0);
    expect(asked).to.include({ placement: PlacementFailure.NoRoom, decidedMs: 0 });
    expect(asked.retryMs).to.be.within(8_000, 11_000);
  });

  it("waits when there is room in its time, and is placed when it was told to expect it", async () => {
    const fleet = await newFullFleet();
    const asked = fleet.ask({ tokens: 200_000, timeoutMs: 20_000, process: 1 });
    await fleet.clock.advance(100);
    expect(fleet.getRoom(1)).to.deep.include({ waiting: { r: 1 }, promisedTokens: 200_800 });
    await fleet.clock.advance(14_000);
    expect(isPlaced(asked)).to.equal(true);
    expect(fleet.getRoom(1)?.promises["used"]).to.equal(1);
    expect(fleet.getRoom(1)?.errorsMs[0]).to.be.below(1_000);
  });

  it("is rejected as soon as the answer before it turns out to be too long", async () => {
    const fleet = newFleet({ processes: 2, upstreams: 1 });
    const before = fleet.ask({ tokens: 250_000, outputTokens: 4_000 });
    await fleet.clock.advance(10);
    fleet.delayMs = 20_000;
    const asked = fleet.ask({ tokens: 200_000, timeoutMs: 14_000, process: 1 });
    await fleet.clock.advance(14_000);
    expect(isPlaced(before)).to.equal(true);
    expect(asked.placement).to.equal(PlacementFailure.NoRoom);
    expect(asked.decidedMs).to.be.within(5_000, 13_500);
  });
});
