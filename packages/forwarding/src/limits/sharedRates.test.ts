import { expect } from "chai";

import { RateFleet, type Outage } from "../testing/RateFleet.js";

const TIMEOUT_MS = 30_000;
const START_MS = 6_000;
const LENGTH_MS = 14_000;
const OUTAGE_MS = 4_000;

const during = (host: string, how: Outage["how"], options: { fromMs?: number } = {}): Outage => {
  const { fromMs = START_MS } = options;
  return { host, how, fromMs, toMs: fromMs + OUTAGE_MS };
};

/** Demand is five times the rate, or 40 a second if that is more: all processes want one upstream. */
const getTries = (perSecond: number): number => Math.max(40, 5 * perSecond);

const SCHEDULES: readonly [
  name: string,
  getOutages: (owner: string, hosts: readonly string[]) => readonly Outage[],
][] = [
  ["nothing happens", () => []],
  ["the owner is killed and back after 4 s", (owner) => [during(owner, "killed")]],
  ["the owner is frozen for 4 s", (owner) => [during(owner, "frozen")]],
  ["the owner is cut off for 4 s", (owner) => [during(owner, "cut")]],
  [
    "the owner and a sixth of the others are cut off",
    (owner, hosts) =>
      hosts
        .filter((host, index) => host === owner || index % 6 === 0)
        .map((host) => during(host, "cut")),
  ],
  [
    "half of the processes are frozen and thaw at once",
    (_, hosts) =>
      hosts.filter((_host, index) => index % 2 === 0).map((host) => during(host, "frozen")),
  ],
  [
    "all are restarted one after the other",
    (_, hosts) =>
      hosts.map((host, index) => ({
        ...{ host, how: "killed" as const, fromMs: START_MS + (index * 5_000) / hosts.length },
        toMs: START_MS + (index * 5_000) / hosts.length + 1_500,
      })),
  ],
  [
    "most are killed at the same moment",
    (_, hosts) =>
      hosts.filter((_host, index) => index % 9 < 5).map((host) => during(host, "killed")),
  ],
];

/** The rule's window for limits, and how late sends may arrive on a busy machine. */
const LIMIT_WINDOW_MS = 4_000;
const BUSY_LATE_MS = 120;
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);

describe("the limit that an upstream in need names", () => {
  for (const perSecond of [0.25, 1, 1.3, 2, 8]) {
    // Sends that were saved up took an upstream over its limit, six in 4 s at 1.3 a second.
    it(`of ${String(perSecond)} a second is kept in any 4 s and used to nine tenths, by 6 processes at 60 requests a second on a busy machine`, async function () {
      this.timeout(TIMEOUT_MS);
      for (const seed of SEEDS) {
        const fleet = new RateFleet({
          ...{ processes: 6, perSecond, kind: "limited", seed, lateMs: BUSY_LATE_MS },
        });
        await fleet.run(START_MS, 60);
        const fromMs = fleet.clock.now();
        await fleet.run(LENGTH_MS, 60);
        const most = fleet.getMost({ fromMs, windowMs: LIMIT_WINDOW_MS });
        const sent = fleet.sentMs.filter((atMs) => atMs >= fromMs).length;
        expect(most, `seed ${String(seed)}`).to.be.at.most((perSecond * LIMIT_WINDOW_MS) / 1_000);
        expect(sent).to.be.at.least((0.9 * perSecond * LENGTH_MS) / 1_000 - 1);
      }
    });
  }
});

describe("the rate of an upstream that all processes share", () => {
  const sizes: readonly [processes: number, perSecond: number, seeds: number[], count: number][] = [
    [6, 4, [1, 2, 3], SCHEDULES.length],
    [63, 18, [1], SCHEDULES.length],
    [24, 18, [1], 2],
    [90, 18, [1], 2],
  ];
  for (const [processes, perSecond, seeds, count] of sizes) {
    for (const [name, getOutages] of SCHEDULES.slice(0, count)) {
      // Guards against the burst that crashes a cold upstream, whichever processes are in touch.
      it(`is kept in each second by ${String(processes)} processes that all want a cold upstream of ${String(perSecond)} a second, while ${name}`, async function () {
        this.timeout(TIMEOUT_MS);
        for (const seed of seeds) {
          const fleet = new RateFleet({ processes, perSecond, kind: "cold", seed, getOutages });
          await fleet.run(LENGTH_MS, getTries(perSecond));
          expect(fleet.getMost()).to.be.at.most(1.5 * perSecond + 5);
        }
      });
    }

    // A cold upstream that gets nothing stays useless, and a limit that isn't used up wastes one.
    for (const kind of ["cold", "limited"] as const) {
      it(`is used to nine tenths by ${String(processes)} processes when it is that of a ${kind} upstream`, async function () {
        this.timeout(TIMEOUT_MS);
        const fleet = new RateFleet({ processes, perSecond, kind, seed: 1 });
        await fleet.run(START_MS, getTries(perSecond));
        const before = fleet.sentMs.length;
        await fleet.run(8_000, getTries(perSecond));
        const sent = fleet.sentMs.length - before;
        expect(sent).to.be.within(0.9 * perSecond * 8, perSecond * 8);
      });
    }

    for (const limit of [perSecond, 1.3]) {
      // Processes that hadn't heard of the end kept an upstream nearly idle for up to 8 s.
      it(`is no longer shared 2 s after a limit of ${String(limit)} a second ended, by ${String(processes)} processes`, async function () {
        this.timeout(TIMEOUT_MS);
        const fleet = new RateFleet({ processes, perSecond: limit, kind: "limited", seed: 1 });
        const tries = 15;
        await fleet.run(START_MS, tries);
        fleet.limitUntilMs = START_MS;
        await fleet.run(2_000, tries);
        const before = fleet.refused;
        await fleet.run(4_000, tries);
        expect(fleet.refused).to.equal(before);
      });
    }

    it(`costs no message without a cold upstream, and one a send that ${String(processes)} processes don't contend for`, async () => {
      const fleet = new RateFleet({ processes, perSecond, kind: "cold", seed: 1 });
      await fleet.run(START_MS, perSecond / 3);
      expect(fleet.asks).to.be.within(1, fleet.tries);
      const warm = new RateFleet({ processes, perSecond: 0, kind: "none", seed: 1 });
      await warm.run(1_000, 100);
      await warm.run(100, 0);
      expect([warm.asks, warm.sentMs.length === warm.tries]).to.deep.equal([0, true]);
    });
  }
});
