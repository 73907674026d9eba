import { nextExponential, SeededRandom, type Random } from "@lycheepulley/core";
import {
  applyPace,
  CALL_LOAD,
  CostKind,
  newUpstreamLoad,
  pickServiceUpstream,
  sumLoads,
  type CostBook,
  type PlacementCandidate,
  type TimedLoadItem,
  type Upstream,
} from "@lycheepulley/forwarding";

import { CostPolicy, newCosts } from "./costPolicies.js";
import { SimulatedClock } from "./SimulatedClock.js";

const POOL = "service";
/** Longest work of a call, as a multiple of its mean. */
const MAX_WORK_FACTOR = 5;
/** A call that begins at an upstream with more of its slots taken takes longer. */
const FULL_SHARE = 0.75;
const GOSSIP_MS = 1_000;

/** Calls of one customer, which look like those of the others. */
export interface CallClass {
  readonly customer: string;
  readonly perSecond: number;
  readonly workMs: number;
  /** Work from the middle of the day on, if it changes. */
  readonly laterWorkMs?: number;
}

/** A plain service and its calls. */
export interface CallPattern {
  readonly name: string;
  readonly lengthMs: number;
  readonly processes: number;
  readonly slots: number;
  /** Times of the upstreams as multiples of the usual. */
  readonly paces: readonly number[];
  /** Factor on calls that begin at a nearly full upstream. */
  readonly fullFactor: number;
  readonly targetMs: number;
  readonly classes: readonly CallClass[];
}

/** What callers of a service got. */
export interface CallResult {
  readonly calls: number;
  /** Share of the calls answered within the objective. */
  readonly inTime: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

interface SimulatedService {
  readonly upstream: Upstream;
  readonly pace: number;
  running: number;
  readonly queue: (() => void)[];
}

/** Plays the calls of a pattern; the same seed gives the same result. */
export const playCalls = async (
  pattern: CallPattern,
  seed: number,
  policy: CostPolicy,
): Promise<CallResult> => {
  const play = new CallPlay(pattern, new SeededRandom(seed), policy);
  return play.run();
};

class CallPlay {
  readonly #pattern: CallPattern;
  readonly #random: Random;
  readonly #policy: CostPolicy;
  readonly #clock = new SimulatedClock();
  readonly #services: SimulatedService[];
  readonly #books: (CostBook | undefined)[];
  readonly #items = new Map<string, TimedLoadItem>();
  readonly #latencies: number[] = [];
  #nextId = 1;

  constructor(pattern: CallPattern, random: Random, policy: CostPolicy) {
    this.#pattern = pattern;
    this.#random = random;
    this.#policy = policy;
    this.#services = pattern.paces.map((pace, at) => ({
      upstream: {
        ...{ id: `u${String(at)}`, pool: POOL, host: "h", port: at + 1, failureDomain: "z" },
        ...{ slots: pattern.slots, isLeaving: false },
      },
      ...{ pace, running: 0, queue: [] },
    }));
    const getPace = (id: string): number => pattern.paces[Number(id.slice(1))] ?? 1;
    this.#books = Array.from({ length: pattern.processes }, () =>
      newCosts(policy, this.#clock, getPace),
    );
  }

  async run(): Promise<CallResult> {
    this.#pattern.classes.forEach((calls) => {
      this.#scheduleNext(calls);
    });
    this.#gossip();
    await this.#clock.run(this.#pattern.lengthMs + 10 * this.#pattern.targetMs);
    const sorted = this.#latencies.sort((a, b) => a - b);
    const inTime = sorted.filter((ms) => ms <= this.#pattern.targetMs).length;
    const getMs = (share: number): number =>
      Math.round(sorted[Math.floor(share * sorted.length)] ?? 0);
    return {
      ...{ calls: sorted.length, inTime: inTime / Math.max(1, sorted.length) },
      ...{ p50Ms: getMs(0.5), p95Ms: getMs(0.95) },
    };
  }

  #scheduleNext(calls: CallClass): void {
    this.#clock.setTimer(
      () => {
        if (this.#clock.now() < this.#pattern.lengthMs) {
          this.#call(calls);
          this.#scheduleNext(calls);
        }
      },
      nextExponential(this.#random, 1_000 / calls.perSecond),
    );
  }

  #call({ customer, workMs, laterWorkMs = workMs }: CallClass): void {
    const sentMs = this.#clock.now();
    const meanMs = sentMs < this.#pattern.lengthMs / 2 ? workMs : laterWorkMs;
    const drawnMs = Math.min(MAX_WORK_FACTOR * meanMs, nextExponential(this.#random, meanMs));
    const book = this.#books[Math.floor(this.#random.next() * this.#books.length)];
    const key = { pool: POOL, route: "route", customer };
    const isKnown = this.#policy === CostPolicy.Hindsight;
    const callMs = isKnown ? drawnMs : book?.estimate(CostKind.Call, key);
    const { service, candidate } = this.#pick(book, callMs);
    const takenShare = candidate.load.inFlight / this.#pattern.slots;
    const id = String(this.#nextId++);
    this.#items.set(id, {
      ...{ ...CALL_LOAD, id, pool: POOL, upstream: service.upstream.id, kvTokens: 0 },
      ...(callMs !== undefined && { writeMs: callMs * (candidate.pace ?? 1) }),
      sinceMs: sentMs,
    });
    this.#start(service, drawnMs, () => {
      const ms = this.#clock.now() - sentMs;
      this.#items.delete(id);
      this.#latencies.push(ms);
      if (book && takenShare < 1) {
        if (callMs !== undefined) {
          book.paces.record(service.upstream.id, ms / callMs, takenShare);
        }
        book.record(CostKind.Call, key, ms);
      }
    });
  }

  #pick(
    book: CostBook | undefined,
    callMs: number | undefined,
  ): { service: SimulatedService; candidate: PlacementCandidate } {
    const loads = sumLoads(this.#items.values(), this.#clock.now());
    const candidates = this.#services.map(({ upstream }) => ({
      ...{ upstream, failureRate: 0, avoidance: 0 },
      ...applyPace(book, upstream, loads.get(upstream.id) ?? newUpstreamLoad()),
    }));
    const picked = pickServiceUpstream(candidates, this.#random, {
      ...{ callMs, targetMs: this.#pattern.targetMs },
    });
    const at = candidates.findIndex(({ upstream }) => upstream.id === picked?.id);
    const [service, candidate] = [this.#services[at], candidates[at]];
    if (!service || !candidate) {
      throw new Error("a service without upstreams");
    }
    return { service, candidate };
  }

  /** Runs a call once the upstream has a free slot. */
  #start(service: SimulatedService, workMs: number, onEnd: () => void): void {
    if (service.running >= this.#pattern.slots) {
      service.queue.push(() => {
        this.#start(service, workMs, onEnd);
      });
      return;
    }
    const isFull = service.running >= FULL_SHARE * this.#pattern.slots;
    service.running += 1;
    this.#clock.setTimer(
      () => {
        service.running -= 1;
        onEnd();
        service.queue.shift()?.();
      },
      workMs * service.pace * (isFull ? this.#pattern.fullFactor : 1),
    );
  }

  #gossip(): void {
    this.#clock.setTimer(() => {
      this.#books.forEach((book, at) => {
        const to = this.#books[(at + 1 + Math.floor(this.#random.next() * 3)) % this.#books.length];
        if (book && to) {
          to.recordPeer(book.getSummary());
        }
      });
      this.#gossip();
    }, GOSSIP_MS);
  }
}
