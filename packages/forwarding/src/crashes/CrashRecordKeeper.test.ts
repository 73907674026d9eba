import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import type { Members } from "../members.js";
import { ManualClock } from "../testing/ManualClock.js";
import { CrashEvidence, type CrashReport } from "./CrashEvidence.js";
import { CrashRecordKeeper, type CrashRecords } from "./CrashRecordKeeper.js";

const HOSTS = ["n0", "n1", "n2"];
const REQUEST = "f";
const SETTLE_MS = 100;
/** Longer than the pause after any failed call. */
const RETRY_MS = 5_000;

/** Records that outlast the processes of a fleet. */
class FakeRecords implements CrashRecords {
  readonly values = new Map<string, string>();
  isAway = false;
  writes = 0;

  read(): ReturnType<CrashRecords["read"]> {
    const records = [...this.values].map(([key, value]) => ({ key, value }));
    return this.#whileThere(() => records);
  }

  write(key: string, value: string | undefined): Promise<void> {
    return this.#whileThere(() => {
      this.writes += 1;
      if (value === undefined) {
        this.values.delete(key);
      } else {
        this.values.set(key, value);
      }
    });
  }

  #whileThere<T>(fn: () => T): Promise<T> {
    return this.isAway ? Promise.reject(new Error("away")) : Promise.resolve(fn());
  }
}

/** Time of day that is off by `offsetMs`. */
class SteppedClock extends ManualClock {
  offsetMs = 0;

  override wall(): number {
    return super.wall() + this.offsetMs;
  }
}

/** Processes that tell each other their news, until they all end. */
class Fleet {
  readonly clock = new SteppedClock();
  readonly records = new FakeRecords();
  #evidence = new Map<string, CrashEvidence>();
  #keepers: CrashRecordKeeper[] = [];

  constructor() {
    this.start();
  }

  start(): void {
    for (const self of HOSTS) {
      const { clock, records } = this;
      const logger = newSilentLogger();
      const evidence = new CrashEvidence({
        ...{ clock, logger },
        onNews: (report) => {
          this.#tell(self, report);
        },
        onChange: () => {
          keeper.update();
        },
      });
      const getMembers = (): Members => ({ self, hosts: HOSTS, known: HOSTS.length - 1 });
      const keeper = new CrashRecordKeeper({ clock, logger, evidence, records, getMembers });
      this.#evidence.set(self, evidence);
      this.#keepers.push(keeper);
      keeper.start();
    }
  }

  /** All processes end at once, and start again. */
  async restart(): Promise<void> {
    this.#keepers.forEach((keeper) => {
      keeper.stop();
    });
    this.#keepers = [];
    this.#evidence = new Map();
    await this.clock.advance(SETTLE_MS);
    this.start();
    await this.clock.advance(SETTLE_MS);
  }

  restoreRecords(): void {
    this.#keepers.forEach((keeper) => {
      keeper.restore();
    });
  }

  async lose(...upstreams: string[]): Promise<void> {
    for (const upstream of upstreams) {
      this.#any.recordLoss(upstream, [], REQUEST);
      await this.clock.advance(SETTLE_MS);
    }
  }

  async answer(): Promise<void> {
    this.#any.recordSound([], this.clock.now(), REQUEST);
    await this.clock.advance(SETTLE_MS);
  }

  /** Processes that would not send the request now. */
  get blocking(): number {
    return [...this.#evidence.values()].filter(
      (evidence) => evidence.getStanding([], REQUEST).blocked !== undefined,
    ).length;
  }

  get #any(): CrashEvidence {
    const [evidence] = this.#evidence.values();
    if (!evidence) {
      throw new Error("no process runs");
    }
    return evidence;
  }

  #tell(from: string, report: CrashReport): void {
    for (const [host, evidence] of this.#evidence) {
      if (host !== from) {
        evidence.recordPeer(from, report);
      }
    }
  }
}

describe("CrashRecordKeeper", () => {
  let fleet: Fleet;
  beforeEach(async () => {
    fleet = new Fleet();
    await fleet.clock.advance(SETTLE_MS);
  });

  const cases: readonly [name: string, blocking: number, play: () => Promise<void>][] = [
    // All processes forgot the request when they were killed at once, and it took three more upstreams.
    [
      "blocks a request after all processes were killed at once, twice",
      HOSTS.length,
      async () => {
        await fleet.lose("u1", "u2", "u3");
        await fleet.restart();
        await fleet.restart();
      },
    ],
    [
      "counts the losses before all processes were killed",
      HOSTS.length,
      async () => {
        await fleet.lose("u1", "u2");
        await fleet.restart();
        await fleet.lose("u3");
      },
    ],
    [
      "writes a record once the records are there again",
      HOSTS.length,
      async () => {
        fleet.records.isAway = true;
        await fleet.lose("u1", "u2", "u3");
        fleet.records.isAway = false;
        await fleet.clock.advance(RETRY_MS);
        await fleet.restart();
      },
    ],
    [
      "reads the records once they are there again",
      HOSTS.length,
      async () => {
        await fleet.lose("u1", "u2", "u3");
        fleet.records.isAway = true;
        await fleet.restart();
        fleet.records.isAway = false;
        await fleet.clock.advance(RETRY_MS);
      },
    ],
    [
      "drops the record of a request that was answered",
      0,
      async () => {
        await fleet.lose("u1", "u2", "u3");
        await fleet.answer();
        await fleet.restart();
      },
    ],
    [
      "keeps to the losses when the time of day is set back",
      HOSTS.length,
      async () => {
        await fleet.lose("u1", "u2", "u3");
        fleet.clock.offsetMs = -3_600_000;
        await fleet.restart();
      },
    ],
    [
      "passes over a record that it can't read",
      HOSTS.length,
      async () => {
        await fleet.lose("u1", "u2", "u3");
        fleet.records.values.set("odd", "{");
        await fleet.restart();
      },
    ],
  ];
  for (const [name, blocking, play] of cases) {
    it(name, async () => {
      await play();
      expect(fleet.blocking).to.equal(blocking);
    });
  }

  it("keeps the losses when the time of day is set forth by a day", async () => {
    await fleet.lose("u1", "u2", "u3");
    fleet.clock.offsetMs = 86_400_000;
    await fleet.restart();
    await fleet.lose("u4");
    expect(fleet.blocking).to.equal(HOSTS.length);
  });

  it("writes a record once for each loss from the second on, by one process", async () => {
    await fleet.lose("u1");
    expect(fleet.records.writes).to.equal(0);
    await fleet.lose("u2", "u3");
    await fleet.clock.advance(RETRY_MS);
    expect(fleet.records.writes).to.equal(2);
  });

  it("writes the records again after they were restored from an older copy", async () => {
    await fleet.lose("u1", "u2", "u3");
    fleet.records.values.clear();
    fleet.restoreRecords();
    await fleet.clock.advance(SETTLE_MS);
    expect([...fleet.records.values.keys()]).to.deep.equal([REQUEST]);
  });
});
