import { SeededRandom, sleep } from "@lycheepulley/core";
import { newSilentLogger } from "@lycheepulley/telemetry";

import { ColdUpstreams } from "../limits/ColdUpstreams.js";
import { QuotaOwner } from "../limits/QuotaOwner.js";
import { SendQuota, type QuotaPeers } from "../limits/SendQuota.js";
import { UpstreamLimits } from "../limits/UpstreamLimits.js";
import { pickOwner, type Members } from "../members.js";
import { ManualClock } from "./ManualClock.js";
import { newRests } from "./newLoneSendQuota.js";
import { newUpstream } from "./samples.js";

const STEP_MS = 10;
const OBSERVE_MS = 1_000;
const HOP_MS = 2;
const ASK_TIMEOUT_MS = 80;
/** A process without a heartbeat for so long isn't seen. */
const SILENCE_MS = 1_100;
/** Longest time until the first heartbeat of another arrives after a start, a thaw or a cut. */
const BEAT_MS = 300;
const COLD_MS = 60_000;
const ANSWER_MS = 50;
const LATE_MS = 20;
const RETELL_MS = 700;

/** A process that can't be reached: killed and frozen ones do nothing meanwhile, cut ones go on. */
export interface Outage {
  readonly host: string;
  readonly how: "killed" | "frozen" | "cut";
  readonly fromMs: number;
  readonly toMs: number;
}

/** Why the rate is shared, if it is. */
export type RateKind = "cold" | "limited" | "none";

interface Process {
  readonly host: string;
  readonly limits: UpstreamLimits;
  readonly owner: QuotaOwner;
  readonly quota: SendQuota;
  /** Age of its view of the others, milliseconds. */
  readonly lagMs: number;
}

/** Processes that share the rate of upstream `u`, each with a view of the others of its own age. */
export class RateFleet {
  readonly clock = new ManualClock();
  /** Times at which sends left. */
  readonly sentMs: number[] = [];
  asks = 0;
  tries = 0;
  refused = 0;
  /** Time at which the upstream stops naming its limit. */
  limitUntilMs = Infinity;
  readonly #random: SeededRandom;
  readonly #outages: readonly Outage[];
  readonly #hosts: readonly string[];
  readonly #processes: Process[];
  readonly #perSecond: number;
  readonly #kind: RateKind;
  readonly #lateMs: number;

  constructor(options: {
    processes: number;
    perSecond: number;
    kind: RateKind;
    seed: number;
    /** Longest time from a grant until its send arrives, besides the way, milliseconds. */
    lateMs?: number;
    getOutages?: (owner: string, hosts: readonly string[]) => readonly Outage[];
  }) {
    this.#random = new SeededRandom(options.seed);
    const hosts = Array.from({ length: options.processes }, (_, index) => `n${String(index)}`);
    this.#hosts = hosts;
    this.#perSecond = options.perSecond;
    this.#kind = options.kind;
    this.#lateMs = options.lateMs ?? LATE_MS;
    const owner = pickOwner("u", { self: "", hosts, known: 0 });
    this.#outages = options.getOutages?.(owner, hosts) ?? [];
    this.#processes = hosts.map((host) => this.#newProcess(host));
  }

  /** Lets all processes try to send, `triesPerS` a second in all, for `ms`. */
  async run(ms: number, triesPerS: number): Promise<void> {
    const endMs = this.clock.now() + ms;
    const chance = (triesPerS * STEP_MS) / 1_000 / this.#processes.length;
    while (this.clock.now() < endMs) {
      const now = this.clock.now();
      this.#restartKilled(now);
      for (const process of this.#processes.filter(({ host }) => this.#runs(host, now))) {
        if (now % OBSERVE_MS === 0) {
          process.owner.observe();
        }
        for (let left = chance; left > 0; left -= 1) {
          if (this.#random.next() < left) {
            void this.#try(process);
          }
        }
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Sends in the busiest second, or time of `windowMs`, from `fromMs` on. */
  getMost({ fromMs = 0, windowMs = 1_000 } = {}): number {
    const times = this.sentMs.filter((atMs) => atMs >= fromMs);
    return Math.max(
      0,
      ...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
    );
  }

  async #try(process: Process): Promise<void> {
    const { host, quota } = process;
    this.tries += 1;
    if (!(await quota.tryTake("u"))) {
      this.refused += 1;
    } else {
      // A frozen process sends what it was granted when it thaws.
      await sleep(this.clock, this.#lateMs * this.#random.next());
      while (!this.#runs(host, this.clock.now())) {
        await sleep(this.clock, STEP_MS);
      }
      const sentMs = this.clock.now();
      this.sentMs.push(sentMs);
      await sleep(this.clock, ANSWER_MS);
      const isNamed = this.#kind === "limited" && sentMs < this.limitUntilMs;
      const perSecond = isNamed ? this.#perSecond : undefined;
      process.limits.record({ upstream: "u", perSecond, sentMs, receivedMs: this.clock.now() });
    }
  }

  /** Tells all others the newest report of a process, as they are told of a change. */
  async #tell(host: string, delayMs: number): Promise<void> {
    await sleep(this.clock, delayMs);
    const from = this.#processes.find((process) => process.host === host);
    const [report] = from?.limits.own ?? [];
    await sleep(this.clock, HOP_MS);
    if (report) {
      this.#processes
        .filter((process) => process !== from)
        .forEach(({ limits }) => {
          limits.recordPeer(host, report);
        });
    }
  }

  /** A process that was killed knows nothing of before when it is back. */
  #restartKilled(now: number): void {
    for (const { host, how, toMs } of this.#outages) {
      const index = this.#hosts.indexOf(host);
      if (how === "killed" && toMs > now - STEP_MS && toMs <= now) {
        this.#processes[index] = this.#newProcess(host);
      }
    }
  }

  #newProcess(host: string): Process {
    const { clock } = this;
    const [perSecond, kind] = [this.#perSecond, this.#kind];
    const logger = newSilentLogger();
    const limits = new UpstreamLimits({
      ...{ clock, logger },
      onOwnChange: () => {
        void this.#tell(host, 0);
        void this.#tell(host, RETELL_MS);
      },
    });
    const cold = new ColdUpstreams({ clock, logger, onNews: () => undefined });
    if (kind === "cold") {
      cold.observe([newUpstream("u", { coldMs: COLD_MS })], {
        isDirect: true,
        getColdStart: () => ({ durationMs: COLD_MS, perSecond }),
      });
    } else if (kind === "limited") {
      limits.record({ upstream: "u", perSecond, sentMs: 0, receivedMs: 0 });
    }
    const lagMs = 200 + 800 * this.#random.next();
    const getMembers = (): Members => this.#getMembers(host, lagMs);
    const owner = new QuotaOwner({ clock, limits, cold, getMembers });
    const peers: QuotaPeers = {
      ask: async (to, limit, known) => {
        this.asks += 1;
        await sleep(clock, HOP_MS);
        const peer = this.#processes.find((process) => process.host === to);
        if (!peer || !this.#isReached(to, clock.now()) || !this.#isReached(host, clock.now())) {
          await sleep(clock, ASK_TIMEOUT_MS);
          throw new Error("no answer");
        }
        const answer = peer.owner.takeForPeer(host, limit, known);
        await sleep(clock, HOP_MS);
        return answer;
      },
      charge: () => undefined,
    };
    const quota = new SendQuota({
      ...{ clock, limits, cold, rests: newRests(clock), owner, peers, getMembers, logger },
    });
    return { host, limits, owner, quota, lagMs };
  }

  #isOut(host: string, atMs: number, hows: readonly Outage["how"][]): boolean {
    return this.#outages.some(
      (outage) =>
        outage.host === host &&
        hows.includes(outage.how) &&
        atMs >= outage.fromMs &&
        atMs < outage.toMs,
    );
  }

  #runs(host: string, atMs: number): boolean {
    return !this.#isOut(host, atMs, ["killed", "frozen"]);
  }

  #isReached(host: string, atMs: number): boolean {
    return !this.#isOut(host, atMs, ["killed", "frozen", "cut"]);
  }

  #getMembers(self: string, lagMs: number): Members {
    const now = this.clock.now();
    const seenMs = now - lagMs;
    // Before its first second all processes have seen each other.
    const isSeen = (host: string): boolean =>
      seenMs < 0 ||
      Array.from({ length: 11 }, (_, index) => seenMs - (index * SILENCE_MS) / 10).some(
        (atMs) => this.#isReached(host, atMs) && this.#hears(self, host, atMs),
      );
    const others = this.#hosts.filter((host) => host !== self);
    const live = others.filter(isSeen);
    return {
      ...{ self, hosts: [...live, self], known: others.length },
      isPartial: 2 * (live.length + 1) < others.length + 1,
    };
  }

  /** After its own outage a process hears the others one after the other. */
  #hears(self: string, host: string, atMs: number): boolean {
    const delayMs = (BEAT_MS * ((host.length * 31 + Number(host.slice(1)) * 7) % 10)) / 10;
    return this.#outages
      .filter((outage) => outage.host === self && outage.fromMs <= atMs)
      .every(({ toMs }) => atMs >= toMs + delayMs);
  }
}
