import { expect } from "chai";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { ManualClock } from "../testing/ManualClock.js";
import { newRests } from "../testing/newLoneSendQuota.js";
import { pickOwner, type Members } from "../members.js";
import { ColdUpstreams } from "./ColdUpstreams.js";
import { QuotaOwner } from "./QuotaOwner.js";
import { QuotaQueue } from "./QuotaQueue.js";
import { SendQuota, type QuotaPeers } from "./SendQuota.js";
import { UpstreamLimits } from "./UpstreamLimits.js";

const HOSTS = ["n0", "n1", "n2"];
const OBSERVE_MS = 1_000;

/** One process with quotas, whose peers answer as a test says. */
class QuotaProcess {
  readonly limits: UpstreamLimits;
  readonly cold: ColdUpstreams;
  readonly owner: QuotaOwner;
  readonly quota: SendQuota;
  members: Members;
  answer: QuotaPeers["ask"] = () => Promise.reject(new Error("no answer"));
  asked = 0;

  constructor(clock: ManualClock, self: string, hosts: readonly string[] = HOSTS) {
    this.members = { self, hosts, known: hosts.length - 1 };
    const logger = newSilentLogger();
    const limits = new UpstreamLimits({ clock, logger, onOwnChange: () => undefined });
    const getMembers = (): Members => this.members;
    const cold = new ColdUpstreams({ clock, logger, onNews: () => undefined });
    const owner = new QuotaOwner({ clock, limits, cold, getMembers });
    const peers: QuotaPeers = {
      ask: (host, limit) => {
        this.asked += 1;
        return this.answer(host, limit);
      },
      charge: () => undefined,
    };
    this.limits = limits;
    this.cold = cold;
    this.owner = owner;
    const rests = newRests(clock);
    this.quota = new SendQuota({
      ...{ clock, limits, cold, rests, owner, peers, getMembers, logger },
    });
  }

  name(upstream: string, perSecond: number | undefined, sentMs: number): void {
    this.limits.record({ upstream, perSecond, sentMs, receivedMs: sentMs });
  }
}

/** Counts the sends granted within `ms` to a process that asks all the time. */
const countGranted = async (
  clock: ManualClock,
  owners: readonly QuotaOwner[],
  ms: number,
): Promise<number> => {
  let granted = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 20) {
    if (passedMs % OBSERVE_MS === 0) {
      owners.forEach((owner) => {
        owner.observe();
      });
    }
    granted += owners.filter((owner) => owner.take("u").isGranted).length;
    await clock.advance(20);
  }
  return granted;
};

const OWNER = pickOwner("u", { self: "", hosts: HOSTS, known: 0 });
const OTHERS = HOSTS.filter((host) => host !== OWNER);
const SUCCESSOR = pickOwner("u", { self: "", hosts: OTHERS, known: 0 });
const BYSTANDER = OTHERS.find((host) => host !== SUCCESSOR) ?? "";

describe("QuotaOwner", () => {
  const rates = [0.25, 1.3, 20];
  for (const perSecond of rates) {
    // A limit that isn't used up wastes an upstream; one that is exceeded harms it.
    it(`grants nine tenths of a limit of ${String(perSecond)} and no more than the limit`, async () => {
      const clock = new ManualClock();
      const { owner, limits } = new QuotaProcess(clock, OWNER);
      limits.record({ upstream: "u", perSecond, sentMs: 0, receivedMs: 0 });
      await countGranted(clock, [owner], 20_000);
      const granted = await countGranted(clock, [owner], 40_000);
      expect(granted).to.be.within(0.9 * perSecond * 40 - 1, perSecond * 40);
    });
  }

  // A cold upstream that names a limit got what was saved up besides.
  it("keeps the limit of a cold upstream over 4 s too", async () => {
    const clock = new ManualClock();
    const { owner, cold, limits } = new QuotaProcess(clock, OWNER);
    limits.record({ upstream: "u", perSecond: 2, sentMs: 0, receivedMs: 0 });
    await countGranted(clock, [owner], 10_000);
    cold.recordPeer("n9", { upstream: "u", leftMs: 30_000, perSecond: 8 });
    await clock.advance(2_000);
    owner.observe();
    expect(await countGranted(clock, [owner], 4_000)).to.be.at.most(8);
  });

  // Two processes that take themselves for the owner may together grant what the rule allows.
  it("keeps two owners within the rule while processes see different members", async () => {
    for (const perSecond of rates) {
      const clock = new ManualClock();
      const old = new QuotaProcess(clock, OWNER);
      const next = new QuotaProcess(clock, SUCCESSOR);
      [old, next].forEach((process) => {
        process.name("u", perSecond, 0);
      });
      await countGranted(clock, [old.owner, next.owner], 20_000);
      next.members = { ...next.members, hosts: OTHERS };
      const granted = await countGranted(clock, [old.owner, next.owner], 4_000);
      expect(granted).to.be.at.most(1.5 * perSecond * 4 + 5);
    }
  });

  it("grants its part only while it sees none of the peers that it knows", async () => {
    const clock = new ManualClock();
    const { owner, limits } = new QuotaProcess(clock, OWNER);
    limits.record({ upstream: "u", perSecond: 3, sentMs: 0, receivedMs: 0 });
    await countGranted(clock, [owner], 20_000);
    const alone = new QuotaProcess(clock, OWNER);
    alone.name("u", 3, 0);
    alone.members = { self: OWNER, hosts: [OWNER], known: 2 };
    expect(await countGranted(clock, [alone.owner], 20_000)).to.be.within(18, 20);
  });

  it("refuses to grant what another process owns", () => {
    const process = new QuotaProcess(new ManualClock(), BYSTANDER);
    process.name("u", 3, 0);
    expect(process.owner.take("u").isGranted).to.equal(false);
  });

  it("tells those that it refuses to come back one after the other", () => {
    const { owner, limits } = new QuotaProcess(new ManualClock(), OWNER);
    limits.record({ upstream: "u", perSecond: 4, sentMs: 0, receivedMs: 0 });
    const [first = 0, second = 0] = [owner.take("u"), owner.take("u")].map(
      ({ retryMs }) => retryMs,
    );
    expect(second).to.be.above(first + 200);
  });

  it("learns the limit from the process that asks", () => {
    const { owner } = new QuotaProcess(new ManualClock(), OWNER);
    const limit = { upstream: "u", perSecond: 1, sentMs: 0, receivedMs: 0 };
    expect(owner.takeForPeer("n9", limit).isGranted).to.equal(false);
  });

  it("counts calls that can't wait", async () => {
    const clock = new ManualClock();
    const { owner, limits } = new QuotaProcess(clock, OWNER);
    limits.record({ upstream: "u", perSecond: 1, sentMs: 0, receivedMs: 0 });
    owner.observe();
    for (let call = 0; call < 5; call++) {
      owner.charge("u");
    }
    expect(await countGranted(clock, [owner], 8_000)).to.be.within(0, 1);
  });
});

describe("SendQuota", () => {
  it("sends nothing to a limited upstream whose owner doesn't answer, and asks it once", async () => {
    const clock = new ManualClock();
    const process = new QuotaProcess(clock, BYSTANDER);
    process.name("u", 3, 0);
    const taken = [await process.quota.tryTake("u"), await process.quota.tryTake("u")];
    expect(taken).to.deep.equal([false, false]);
    expect(process.asked).to.equal(1);
    await clock.advance(600);
    process.answer = () => Promise.resolve({ isGranted: true, retryMs: 0 });
    expect(await process.quota.tryTake("u")).to.equal(true);
  });

  // Such an owner grants every send: all processes together would send a cold upstream their bursts.
  it("sends no more than its part to a cold upstream whose owner is of an earlier build", async () => {
    const clock = new ManualClock();
    const process = new QuotaProcess(clock, BYSTANDER);
    process.answer = () => Promise.resolve({ isGranted: true, retryMs: 0 });
    process.cold.recordPeer("n9", { upstream: "u", leftMs: 10_000, perSecond: 6 });
    let sent = 0;
    for (let passedMs = 0; passedMs < 10_000; passedMs += 20) {
      sent += (await process.quota.tryTake("u")) ? 1 : 0;
      await clock.advance(20);
    }
    expect(sent).to.be.within(1, (10 * 6) / HOSTS.length / 2);
  });

  it("asks nobody for an upstream without a limit", async () => {
    const process = new QuotaProcess(new ManualClock(), BYSTANDER);
    expect(await process.quota.tryTake("u")).to.equal(true);
    expect(process.asked).to.equal(0);
  });

  it("keeps an upstream out of the parts of prompts only by a limit that binds, or while it is cold", async () => {
    const clock = new ManualClock();
    const { quota, limits, cold } = new QuotaProcess(clock, OWNER);
    [0, 3, 9.9, 10, 100].forEach((perSecond, index) => {
      limits.record({ upstream: `u${String(index)}`, perSecond, sentMs: 0, receivedMs: 0 });
    });
    const avoidances = [0, 1, 2, 3, 4].map((index) => quota.getAvoidance(`u${String(index)}`));
    expect(avoidances.map((avoidance) => avoidance > 0)).to.deep.equal([
      ...[true, true, true],
      ...[false, false],
    ]);
    cold.recordPeer("n9", { upstream: "u4", leftMs: 2_000, perSecond: 18 });
    expect(quota.getAvoidance("u4")).to.be.within(0.0001, 0.02);
    await clock.advance(2_000);
    expect(quota.getAvoidance("u4")).to.equal(0);
  });

  // One that was avoided got a tenth of its limit, and its end became known seconds late.
  it("uses a limited upstream up to its limit, and lets requests return slowly when it is lifted", async () => {
    const clock = new ManualClock();
    const { quota, limits } = new QuotaProcess(clock, OWNER);
    limits.record({ upstream: "u", perSecond: 3, sentMs: 0, receivedMs: 0 });
    const avoidance = [quota.getAvoidance("u")];
    await clock.advance(1_000);
    avoidance.push(quota.getAvoidance("u"));
    limits.record({ upstream: "u", perSecond: undefined, sentMs: 1_000, receivedMs: 1_000 });
    avoidance.push(quota.getAvoidance("u"));
    await clock.advance(750);
    // Later answers without a limit don't put the return off.
    limits.record({ upstream: "u", perSecond: undefined, sentMs: 1_700, receivedMs: 1_750 });
    avoidance.push(quota.getAvoidance("u"));
    await clock.advance(750);
    avoidance.push(quota.getAvoidance("u"));
    expect(avoidance).to.deep.equal([0.0001, 0.0001, 1, 0.5, 0]);
  });
});

describe("QuotaQueue", () => {
  const SIGNAL = new AbortController().signal;
  /** A queue for an upstream whose next send is to be had after 400 ms. */
  const newQueue = async (clock: ManualClock): Promise<QuotaQueue> => {
    const process = new QuotaProcess(clock, BYSTANDER);
    process.answer = () => Promise.resolve({ isGranted: false, retryMs: 400 });
    process.name("u", 3, 0);
    await process.quota.tryTake("u");
    return new QuotaQueue(clock, process.quota);
  };
  const newWait = (value: number, untilMs: number): Parameters<QuotaQueue["wait"]>[0] => ({
    ...{ upstreams: ["u"], value, untilMs, signal: SIGNAL },
  });

  it("rejects at once what can't be sent in time", async () => {
    const queue = await newQueue(new ManualClock());
    expect(await queue.wait(newWait(1, 300))).to.equal(false);
  });

  it("lets the worthier requests wait, and as many as can expect to be sent", async () => {
    const clock = new ManualClock();
    const queue = await newQueue(clock);
    const results: [value: number, isLetIn: boolean][] = [];
    for (const value of [2, 1, 2, 5]) {
      void queue.wait(newWait(value, 900)).then((isLetIn) => results.push([value, isLetIn]));
    }
    await clock.advance(0);
    expect(results).to.deep.equal([
      [1, false],
      [2, false],
    ]);
    await clock.advance(400);
    expect(results.slice(2)).to.deep.equal([
      [2, true],
      [5, true],
    ]);
  });
});
