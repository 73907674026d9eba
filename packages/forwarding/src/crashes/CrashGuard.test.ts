import { newSilentLogger } from "@lycheepulley/telemetry";
import { expect } from "chai";

import { pickOwner, type Members } from "../members.js";
import { ManualClock } from "../testing/ManualClock.js";
import { CrashEvidence } from "./CrashEvidence.js";
import { CrashGuard, type Admission } from "./CrashGuard.js";
import { TrialOwner } from "./TrialOwner.js";

interface Process {
  readonly evidence: CrashEvidence;
  readonly guard: CrashGuard;
}

/** Processes whose calls arrive at once, or are lost while `isCut` is set. */
class Processes {
  readonly clock = new ManualClock();
  readonly hosts: readonly string[];
  readonly #owners = new Map<string, { evidence: CrashEvidence; owner: TrialOwner }>();
  isCut = false;
  /** Asks reach their owners this much later than the asking process waits; undefined for at once. */
  lateMs: number | undefined;

  constructor(count: number) {
    this.hosts = Array.from({ length: count }, (_, index) => `n${String(index)}`);
  }

  start(self: string, getHosts = (): readonly string[] => this.hosts): Process {
    const { clock } = this;
    const logger = newSilentLogger();
    const evidence = new CrashEvidence({ clock, logger, onNews: () => undefined });
    const owner = new TrialOwner({ clock, evidence });
    this.#owners.set(self, { evidence, owner });
    const getMembers = (): Members => ({ self, hosts: getHosts(), known: this.hosts.length - 1 });
    const guard = new CrashGuard({
      ...{ clock, evidence, owner, getMembers, logger },
      peers: {
        ask: async (host, req) => {
          const peer = this.#owners.get(host);
          if (this.isCut || !peer) {
            throw new Error("no answer");
          }
          peer.evidence.recordPeer(self, req.report);
          if (this.lateMs !== undefined && this.lateMs > 0) {
            clock.setTimer(() => peer.owner.take(self, req), this.lateMs);
            throw new Error("no answer in time");
          }
          const answer = peer.owner.take(self, req);
          if (this.lateMs === 0) {
            throw new Error("no answer in time");
          }
          return answer;
        },
        end: (host, trial) => {
          this.#owners.get(host)?.owner.end(trial);
        },
      },
    });
    return { evidence, guard };
  }
}

const OWNER = pickOwner("bad", { self: "", hosts: new Processes(6).hosts, known: 0 });

const endTrial = (admission: Admission): void => {
  if (admission.kind === "trial") {
    admission.end();
  }
};

describe("CrashGuard", () => {
  let processes: Processes;
  let all: Process[];
  beforeEach(() => {
    processes = new Processes(6);
    all = processes.hosts.map((host) => processes.start(host));
  });

  const accuse = (upstream: string, ...parts: string[]): void => {
    all.forEach(({ evidence }) => {
      evidence.recordLoss(upstream, parts);
    });
  };
  const admit = (...parts: string[]): Promise<Admission[]> =>
    Promise.all(all.map(({ guard }) => guard.admit(parts)));
  const count = (admissions: readonly Admission[], kind: Admission["kind"]): number =>
    admissions.filter((admission) => admission.kind === kind).length;

  it("admits requests freely without a suspicion", async () => {
    accuse("u1", "bad");
    expect(count(await admit("a"), "free")).to.equal(6);
    expect(count(await admit(), "free")).to.equal(6);
  });

  // Guards against a storm of requests with a suspect part before it is known to crash upstreams.
  it("admits one trial of a suspect part at a time, over all processes", async () => {
    accuse("u1", "bad");
    const first = await admit("bad", "a");
    expect([count(first, "trial"), count(first, "refused")]).to.deep.equal([1, 5]);
    expect(count(await admit("bad"), "refused")).to.equal(6);
    first.forEach(endTrial);
    expect(count(await admit("bad"), "trial")).to.equal(1);
  });

  // Guards against a process without a way to upstreams that keeps the others from trying a sound part.
  it("admits the next trial at another process for some time", async () => {
    accuse("u1", "bad");
    const first = await admit("bad");
    const before = first.findIndex(({ kind }) => kind === "trial");
    first.forEach(endTrial);
    expect((await all[before]?.guard.admit(["bad"]))?.kind).to.equal("refused");
    const second = await admit("bad");
    expect(second.findIndex(({ kind }) => kind === "trial")).not.to.equal(before);
    second.forEach(endTrial);
    await processes.clock.advance(2_001);
    expect((await all[before]?.guard.admit(["bad"]))?.kind).to.equal("trial");
  });

  it("admits a trial when the end of the one before wasn't told", async () => {
    accuse("u1", "bad");
    await admit("bad");
    await processes.clock.advance(10_001);
    expect(count(await admit("bad"), "trial")).to.equal(1);
  });

  // A grant that came too late was held for 10 s, in which nobody could try the part.
  for (const [lateMs, openMs] of [
    [0, 0],
    [100, 1_001],
  ] as const) {
    it(`gives back a trial that was granted ${String(lateMs)} ms too late, and no later one`, async () => {
      accuse("u1", "bad");
      const asking = all.find((_, index) => processes.hosts[index] !== OWNER);
      processes.lateMs = lateMs;
      expect((await asking?.guard.admit(["bad"]))?.kind).to.equal("refused");
      processes.lateMs = undefined;
      await processes.clock.advance(openMs);
      const others = all.filter((process) => process !== asking);
      const next = await Promise.all(others.map(({ guard }) => guard.admit(["bad"])));
      expect(count(next, "trial")).to.equal(1);
      await processes.clock.advance(1_001);
      expect(count(await admit("bad"), "trial")).to.equal(0);
    });
  }

  it("returns what it was granted when another part of the request is being tried", async () => {
    accuse("u1", "bad");
    accuse("u2", "worse");
    const [trial] = await Promise.all(all.slice(0, 1).map(({ guard }) => guard.admit(["worse"])));
    expect(count(await admit("bad", "worse"), "refused")).to.equal(6);
    expect(count(await admit("bad"), "trial")).to.equal(1);
    expect(trial?.kind).to.equal("trial");
  });

  it("refuses a blocked part until its next trial, and then admits one", async () => {
    ["u1", "u2", "u3"].forEach((upstream) => {
      accuse(upstream, "bad");
    });
    const refused = await admit("bad");
    expect(refused.map((one) => one.kind === "refused" && one.retryMs)).to.deep.equal(
      Array<number>(6).fill(30_000),
    );
    await processes.clock.advance(30_001);
    expect(count(await admit("bad"), "trial")).to.equal(1);
  });

  // Guards against a process that sends on its own because its peers don't answer.
  it("refuses suspect parts while the owner of their trials doesn't answer", async () => {
    accuse("u1", "bad");
    processes.isCut = true;
    const owner = pickOwner("bad", { self: "", hosts: processes.hosts, known: 0 });
    const admissions = await admit("bad");
    const kinds = admissions.map(({ kind }) => kind);
    const expected = processes.hosts.map((host) => (host === owner ? "trial" : "refused"));
    expect(kinds).to.deep.equal(expected);
  });

  it("grants no trial that the owner's newer evidence rules out", async () => {
    accuse("u1", "bad");
    const owner = processes.hosts.indexOf(
      pickOwner("bad", { self: "", hosts: processes.hosts, known: 0 }),
    );
    ["u2", "u3"].forEach((upstream) => all[owner]?.evidence.recordLoss(upstream, ["bad"]));
    expect(count(await admit("bad"), "refused")).to.equal(6);
  });

  it("tells an owner that has just started what it knows", async () => {
    accuse("u1", "bad");
    const host = pickOwner("bad", { self: "", hosts: processes.hosts, known: 0 });
    processes.start(host);
    const others = all.filter((_, index) => processes.hosts[index] !== host);
    const admissions = await Promise.all(others.map(({ guard }) => guard.admit(["bad"])));
    expect([count(admissions, "trial"), count(admissions, "refused")]).to.deep.equal([1, 4]);
  });
});
