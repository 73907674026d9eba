import { expect } from "chai";

import { sumLoads, type LoadItem } from "../load.js";
import { RoomFleet, type Ask, type Asked } from "../testing/RoomFleet.js";

/** A prompt whose prefill takes an engine of the tests about 0.9 s. */
const LONG: Ask = { tokens: 60_000, outputTokens: 400, targetMs: 2_000, timeoutMs: 12_000 };
const SHORT: Ask = { tokens: 5_000, outputTokens: 800, targetMs: 2_000 };
const CUSTOMERS = ["big", "other"].map((name) => ({ name, apiKeys: [] }));

const newFleet = (options: { lagMs?: number; sharesRoom?: boolean } = {}): RoomFleet =>
  new RoomFleet({
    ...{ processes: 3, upstreams: 2, customers: CUSTOMERS, sharesRoom: true, ...options },
    // Work is short, and memory isn't.
    engine: { kvTokens: 3_000_000 },
  });

/** Has one customer ask for far more than the fleet does, 10 times a second at each of the processes. */
const surge = async (fleet: RoomFleet, forMs: number, others = 1): Promise<Asked[]> => {
  const asked: Asked[] = [];
  for (let process = 0; process < 3 * others; process++) {
    fleet.ask({ ...SHORT, process: process % 3, customer: "other" });
  }
  for (let ms = 0; ms < forMs; ms += 100) {
    for (let process = 0; process < 3; process++) {
      asked.push(
        fleet.ask({ ...LONG, process, customer: "big", body: `b${String(asked.length)}` }),
      );
    }
    await fleet.clock.advance(100);
  }
  return asked;
};

const isRejected = ({ placement }: Asked): boolean => typeof placement === "string";
const isPlaced = ({ placement }: Asked): boolean => typeof placement === "object";

describe("return of rejected callers", () => {
  it("is spread over the room that becomes free, oldest first, within what callers honour", async () => {
    const fleet = newFleet();
    const asked = await surge(fleet, 2_000);
    const times = asked.flatMap(({ retryMs }, index) =>
      retryMs === undefined ? [] : [{ askedMs: Math.floor(index / 3) * 100, retryMs }],
    );
    const mostMs = (LONG.timeoutMs ?? 0) / 3;
    expect(times.length).to.be.above(10);
    expect(Math.max(...times.map(({ retryMs }) => retryMs))).to.be.at.most(mostMs);
    const returns = times
      .filter(({ retryMs }) => retryMs < mostMs - 1)
      .map(({ askedMs, retryMs }) => askedMs + retryMs);
    // Those told at the same time by several processes may not know of each other.
    returns.slice(3).forEach((returnMs, index) => {
      expect(returnMs).to.be.at.least(returns[index] ?? 0);
    });
  });

  for (const lagMs of [2, 200]) {
    it(`gains nothing by three repeats at once, known after ${String(lagMs)} ms`, async () => {
      const fleet = newFleet({ lagMs });
      await surge(fleet, 2_000);
      const repeat = { ...LONG, customer: "big", body: "repeats" };
      await fleet.clock.advance(1);
      const told = fleet.ask({ ...repeat, process: 0 });
      await fleet.clock.advance(lagMs + 1);
      expect(isRejected(told)).to.equal(true);
      const repeats = [0, 1, 2].map((process) => fleet.ask({ ...repeat, process }));
      await fleet.clock.advance(1);
      for (const { placement, retryMs = 0 } of repeats) {
        expect(typeof placement).to.equal("string");
        // A peer counts the time from when it heard of it.
        const leftMs = (told.retryMs ?? 0) - lagMs;
        expect(retryMs).to.be.within(leftMs - 2, leftMs + lagMs + 2);
      }
    });
  }

  const RETURN_CASES = [
    { name: "at another process", lagMs: 2, isKilled: false },
    { name: "with views that are 200 ms old", lagMs: 200, isKilled: false },
    { name: "after the process that rejected it was killed", lagMs: 2, isKilled: true },
  ];
  for (const { name, lagMs, isKilled } of RETURN_CASES) {
    it(`isn't behind newcomers when it is on time: ${name}`, async () => {
      const fleet = newFleet({ lagMs });
      const returned: Asked[] = [];
      const newcomers: Asked[] = [];
      await surge(fleet, 1_000);
      for (let round = 0; round < 40; round++) {
        const body = `r${String(round)}`;
        const ask = { ...LONG, customer: "big", body };
        const told = fleet.ask({ ...ask, process: 2 });
        await fleet.clock.advance(100);
        if (told.retryMs !== undefined) {
          fleet.clock.setTimer(() => {
            returned.push(fleet.ask({ ...ask, process: 1 }));
            newcomers.push(fleet.ask({ ...ask, process: 0, body: `n${body}` }));
          }, told.retryMs - 100);
        }
      }
      if (isKilled) {
        fleet.stop(2, "killed");
      }
      await fleet.clock.advance(6_000);
      expect(returned.length).to.be.above(10);
      expect(returned.some(isPlaced)).to.equal(true);
      const behind = returned.filter(
        (asked, index) => isRejected(asked) && newcomers.slice(index, index + 1).some(isPlaced),
      );
      expect(behind).to.have.length(0);
    });
  }

  // Guards against processes of the build before that take appointments for work.
  it("takes no room, slot or upstream at a process of an earlier build", async () => {
    const fleet = newFleet({ sharesRoom: true });
    const seen: LoadItem[] = [];
    fleet.readItem = (item) => {
      seen.push(item);
      return item;
    };
    await surge(fleet, 1_000);
    const appointments = seen.filter(({ promise }) => promise?.returnKey !== undefined);
    expect(appointments.length).to.be.above(0);
    const loads = sumLoads(
      appointments.map((item) => ({ ...item, sinceMs: 0 })),
      0,
    );
    const taken = [...loads.values()].map(({ inFlight, kvTokens, claims }) => [
      inFlight + kvTokens + (claims?.length ?? 0),
    ]);
    expect(taken.flat().every((amount) => amount === 0)).to.equal(true);
    expect(appointments.every((item) => JSON.stringify(item).length < 450)).to.equal(true);
  });

  it("is told times without items of others, as beside processes of an earlier build", async () => {
    const fleet = newFleet();
    // What such a process passes on has no customer and no appointment.
    fleet.readItem = (item) => ({ ...item, customer: undefined });
    const told = (await surge(fleet, 1_500)).filter(isRejected);
    expect(told.every(({ retryMs = 0 }) => retryMs > 0 && retryMs <= 4_000)).to.equal(true);
  });

  it("has nobody rejected for a share that no other customer wants", async () => {
    const countOverShare = (asked: readonly Asked[]): number =>
      asked.filter(({ placement }) => placement === "over_share").length;
    expect(countOverShare(await surge(newFleet(), 2_000, 0))).to.equal(0);
    expect(countOverShare(await surge(newFleet(), 2_000))).to.be.above(0);
  });

  it("isn't affected while the pool isn't contended", async () => {
    const fleet = newFleet();
    const asked = fleet.ask({ ...SHORT, customer: "big" });
    await fleet.clock.advance(1);
    expect(isPlaced(asked)).to.equal(true);
  });

  it("names nobody and promises nothing with the switch off", async () => {
    const fleet = newFleet({ sharesRoom: false });
    const seen: LoadItem[] = [];
    fleet.readItem = (item) => {
      seen.push(item);
      return item;
    };
    await surge(fleet, 1_000);
    expect(seen.length).to.be.above(0);
    expect(
      seen.some(({ customer, id }) => customer !== undefined || id.startsWith("back-")),
    ).to.equal(false);
  });
});
