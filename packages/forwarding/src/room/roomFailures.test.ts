import { expect } from "chai";

import { loadItemSchema } from "../load.js";
import { PlacementFailure } from "../Placer.js";
import { RoomFleet, type Asked } from "../testing/RoomFleet.js";

const ENGINE = { kvTokens: 344_250, slots: 8, msPerMillionPairs: 0.01 };
const LONG = { tokens: 300_000, timeoutMs: 40_000 };

/** How builds without promises read a load item. */
const earlierItem = loadItemSchema.omit({ outputTokens: true, promise: true });

const isPlaced = ({ placement }: Asked): boolean =>
  placement !== undefined && typeof placement !== "string";

/** Processes at an upstream that is full for some 10 s, where the first one's prompt waits for room. */
const newWaiting = async (
  prepare: (fleet: RoomFleet) => void = () => undefined,
): Promise<{ fleet: RoomFleet; first: Asked }> => {
  const fleet = new RoomFleet({ processes: 3, upstreams: 1, engine: ENGINE });
  prepare(fleet);
  fleet.ask({ tokens: 250_000, outputTokens: 4_000, process: 2 });
  await fleet.clock.advance(10);
  const first = fleet.ask({ ...LONG, process: 0 });
  await fleet.clock.advance(500);
  return { fleet, first };
};

const countClaims = (fleet: RoomFleet, process: number): number =>
  [...fleet.getLoads(process).values()].flatMap(({ claims = [] }) => claims).length;

describe("room: a promise whose owner is gone", () => {
  const cases: readonly [
    name: string,
    end: (fleet: RoomFleet, first: Asked) => void,
    withinMs: number,
  ][] = [
    [
      "its caller left",
      (_fleet, first) => {
        first.abort.abort();
      },
      10,
    ],
    [
      "its process was killed",
      (fleet) => {
        fleet.stop(0, "killed");
      },
      1_600,
    ],
    [
      "its process is frozen or cut off",
      (fleet) => {
        fleet.stop(0, "frozen");
      },
      1_600,
    ],
  ];
  for (const [name, end, withinMs] of cases) {
    it(`ends by itself: ${name}`, async () => {
      const { fleet, first } = await newWaiting();
      expect(countClaims(fleet, 1)).to.equal(1);
      end(fleet, first);
      await fleet.clock.advance(withinMs);
      expect(countClaims(fleet, 1)).to.equal(0);
      const next = fleet.ask({ tokens: 60_000, outputTokens: 6_000, process: 1 });
      await fleet.clock.advance(0);
      expect(isPlaced(next)).to.equal(true);
    });
  }

  it("is in force again once its process wakes, at its old place", async () => {
    const { fleet, first } = await newWaiting();
    fleet.stop(0, "frozen");
    await fleet.clock.advance(2_000);
    const second = fleet.ask({ ...LONG, process: 1 });
    await fleet.clock.advance(2_000);
    fleet.wake(0);
    await fleet.clock.advance(25_000);
    expect(isPlaced(first) && isPlaced(second)).to.equal(true);
    expect(first.decidedMs).to.be.below(500 + 4_000 + (second.decidedMs ?? 0));
    expect(fleet.mostUsedShare).to.be.at.most(1);
  });
});

describe("room: upstreams that are replaced while it is promised", () => {
  it("moves to those that there are", async () => {
    const { fleet, first } = await newWaiting();
    fleet.setUpstreams(["u8", "u9"]);
    await fleet.clock.advance(100);
    expect(isPlaced(first)).to.equal(true);
    expect(typeof first.placement === "object" && first.placement.upstream.id).to.match(/u[89]/);
  });

  it("is no longer waited for once the upstreams left don't hold the prompt", async () => {
    const fleet = new RoomFleet({ processes: 2, upstreams: 2, engine: ENGINE });
    for (const process of [0, 1]) {
      fleet.ask({ tokens: 250_000, outputTokens: 4_000, process });
      await fleet.clock.advance(10);
    }
    const asked = fleet.ask({ tokens: 500_000, timeoutMs: 40_000 });
    await fleet.clock.advance(300);
    expect(asked.placement).to.equal(undefined);
    fleet.setUpstreams(["u0"]);
    await fleet.clock.advance(100);
    expect(asked.placement).to.equal(PlacementFailure.TooLarge);
  });
});

describe("room: an earlier build beside", () => {
  it("is predicted from items without the length of their answer", async () => {
    const { fleet, first } = await newWaiting((newFleet) => {
      newFleet.readItem = (item) => earlierItem.parse(item);
    });
    await fleet.clock.advance(20_000);
    expect(isPlaced(first)).to.equal(true);
    expect(fleet.mostUsedShare).to.be.at.most(1);
  });

  it("takes a promise for memory in use", async () => {
    const { fleet } = await newWaiting((newFleet) => {
      newFleet.readItem = (item) => earlierItem.parse(item);
    });
    expect(fleet.getLoads(1).get("u0")?.kvTokens).to.be.above(2 * 250_000);
  });
});

describe("room: a caller that was told to return", () => {
  /** Room comes in some 4 s, and a read that takes long makes it uncertain whether that is in time. */
  const newRejected = async (): Promise<{ fleet: RoomFleet; rejected: Asked }> => {
    const fleet = new RoomFleet({
      ...{ processes: 3, upstreams: 1 },
      engine: { ...ENGINE, msPerMillionPairs: 0.12 },
    });
    fleet.ask({ tokens: 100_000, outputTokens: 2_000, process: 2 });
    await fleet.clock.advance(10);
    const rejected = fleet.ask({ ...CALLER, process: 0 });
    await fleet.clock.advance(10);
    return { fleet, rejected };
  };
  const CALLER = { tokens: 300_000, timeoutMs: 13_000, body: "caller" };

  it("finds its room before a newcomer", async () => {
    const { fleet, rejected } = await newRejected();
    expect(rejected.placement).to.equal(PlacementFailure.NoRoom);
    const retryMs = rejected.retryMs ?? 0;
    expect(retryMs).to.be.within(2_000, CALLER.timeoutMs / 3);
    await fleet.clock.advance(retryMs - 100);
    const newcomer = fleet.ask({ ...CALLER, body: "newcomer", timeoutMs: 60_000, process: 2 });
    await fleet.clock.advance(80);
    const back = fleet.ask({ ...CALLER, timeoutMs: 9_000, process: 1 });
    await fleet.clock.advance(3_000);
    expect(isPlaced(back)).to.equal(true);
    expect(isPlaced(newcomer)).to.equal(false);
  });

  it("gains nothing by coming back at once, three times", async () => {
    const { fleet, rejected } = await newRejected();
    const times = [rejected.retryMs ?? 0];
    for (let repeat = 0; repeat < 3; repeat++) {
      const again = fleet.ask({ ...CALLER, process: repeat });
      await fleet.clock.advance(10);
      expect(isPlaced(again)).to.equal(false);
      times.push(again.retryMs ?? Infinity);
    }
    expect(Math.min(...times)).to.equal(times[0]);
    expect(countClaims(fleet, 1)).to.be.at.most(1);
  });

  it("that doesn't return leaves the room to others", async () => {
    const { fleet, rejected } = await newRejected();
    await fleet.clock.advance((rejected.retryMs ?? 0) + 500);
    expect(countClaims(fleet, 1)).to.equal(0);
  });
});
