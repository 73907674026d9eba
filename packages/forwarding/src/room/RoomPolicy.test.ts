import { expect } from "chai";

import { PlacementFailure } from "../Placer.js";
import { RoomFleet, type Ask } from "../testing/RoomFleet.js";

/** Many fake timers are slow on a busy machine; the results don't depend on real time. */
const TIMEOUT_MS = 30_000;
const PLACED = "placed";
const { NoRoom, TimeOver, TooLarge, TooLate } = PlacementFailure;

interface Decided {
  readonly result: string;
  /** Bounds of the time to the decision, milliseconds. */
  readonly withinMs: readonly [number, number];
}

interface SwitchCase {
  readonly name: string;
  readonly ask: Ask;
  readonly isBusy: boolean;
  readonly msPerMillionPairs?: number;
  readonly on: Decided;
  readonly off: Decided;
}

const AT_ONCE = [0, 0] as const;

const CASES: readonly SwitchCase[] = [
  {
    name: "one that the pool doesn't hold",
    ...{ ask: { tokens: 700_000, timeoutMs: 3_000 }, isBusy: false },
    on: { result: TooLarge, withinMs: AT_ONCE },
    off: { result: TimeOver, withinMs: [3_000, 3_020] },
  },
  {
    name: "one whose room comes too late",
    ...{ ask: { tokens: 200_000, timeoutMs: 3_000 }, isBusy: true },
    on: { result: NoRoom, withinMs: AT_ONCE },
    off: { result: TimeOver, withinMs: [3_000, 3_020] },
  },
  {
    name: "one with a plan that comes too late",
    ...{ ask: { tokens: 300_000, timeoutMs: 3_000 }, isBusy: false, msPerMillionPairs: 0.12 },
    on: { result: TooLate, withinMs: AT_ONCE },
    off: { result: PLACED, withinMs: AT_ONCE },
  },
  {
    name: "one whose room comes in time",
    ...{ ask: { tokens: 200_000, timeoutMs: 20_000 }, isBusy: true },
    on: { result: PLACED, withinMs: [5_000, 15_000] },
    off: { result: PLACED, withinMs: [5_000, 15_000] },
  },
];

const newFleet = async (promisesRoom: boolean, tested: SwitchCase): Promise<RoomFleet> => {
  const { msPerMillionPairs = 0.01, isBusy } = tested;
  const engine = { kvTokens: 344_250, slots: 8, msPerMillionPairs };
  const fleet = new RoomFleet({ processes: 2, upstreams: 1, engine, promisesRoom });
  if (isBusy) {
    fleet.ask({ tokens: 250_000, outputTokens: 4_000 });
    await fleet.clock.advance(10);
  }
  return fleet;
};

for (const promisesRoom of [true, false]) {
  const state = promisesRoom ? "on" : "off";
  describe(`room: prompts without memory, with promises ${state}`, function () {
    this.timeout(TIMEOUT_MS);
    for (const tested of CASES) {
      const { result, withinMs } = tested[state];
      it(`${tested.name}: ${result}`, async () => {
        const fleet = await newFleet(promisesRoom, tested);
        const asked = fleet.ask({ ...tested.ask, process: 1 });
        await fleet.clock.advance(0);
        const isWaiting = asked.placement === undefined;
        const claims = [...fleet.getLoads(1).values()].flatMap((load) => load.claims ?? []);
        expect(claims).to.have.length(promisesRoom && isWaiting ? 1 : 0);
        await fleet.clock.advance(20_000);
        const { placement } = asked;
        expect(typeof placement === "string" ? placement : placement && PLACED).to.equal(result);
        expect(asked.decidedMs).to.be.within(...withinMs);
      });
    }

    it("counts what it rejects and promises, or nothing", async () => {
      const [first] = CASES;
      if (!first) {
        throw new Error("no case");
      }
      const fleet = await newFleet(promisesRoom, first);
      fleet.ask(first.ask);
      await fleet.clock.advance(5_000);
      expect(fleet.getRoom()?.rejected).to.deep.equal(promisesRoom ? { too_large: 1 } : {});
    });
  });
}
