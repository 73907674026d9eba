import { getMessage, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import { pickOwner, type Members } from "../members.js";
import type { QuotaAnswer, QuotaOwner } from "./QuotaOwner.js";
import type { KnownLimit, UpstreamLimits } from "./UpstreamLimits.js";
import type { UpstreamRests } from "./UpstreamRests.js";

/** Time after which an owner that didn't answer is asked again. */
const NO_ANSWER_RETRY_MS = 500;
/** The older the knowledge of a limit, the less the limited upstream is avoided; half in this time. */
const AVOIDANCE_HALF_LIFE_MS = 1_000;
/** Time over which requests return to an upstream whose limit was lifted. */
const RETURN_MS = 2_000;

/** Asks other processes for sends to upstreams with limits. */
export interface QuotaPeers {
  /** Asks the owner for one send; rejects when it doesn't answer in time. */
  ask(host: string, limit: KnownLimit): Promise<QuotaAnswer>;
  /** Tells the owner of a call that couldn't wait for its grant. */
  charge(host: string, limit: KnownLimit): void;
}

/**
 * Decides whether this process may send to an upstream now, and if not, from when on: by the rests that
 * it was asked for and by the quotas that all processes share.
 */
export class SendQuota {
  readonly #clock: Clock;
  readonly #limits: UpstreamLimits;
  readonly #rests: UpstreamRests;
  readonly #owner: QuotaOwner;
  readonly #peers: QuotaPeers;
  readonly #getMembers: () => Members;
  readonly #logger: Logger;
  /** Times until which no sends to an upstream are to be had. */
  readonly #closedUntilMs = new Map<string, number>();

  constructor(options: {
    clock: Clock;
    limits: UpstreamLimits;
    rests: UpstreamRests;
    owner: QuotaOwner;
    peers: QuotaPeers;
    getMembers: () => Members;
    logger: Logger;
  }) {
    this.#clock = options.clock;
    this.#limits = options.limits;
    this.#rests = options.rests;
    this.#owner = options.owner;
    this.#peers = options.peers;
    this.#getMembers = options.getMembers;
    this.#logger = options.logger;
  }

  /** True unless the upstream rests, or its quota was used up when this process last asked. */
  isOpen(upstream: string): boolean {
    return this.getOpenInMs(upstream) <= 0;
  }

  isResting(upstream: string): boolean {
    return this.#rests.getLeftMs(upstream) > 0;
  }

  isLimited(upstream: string): boolean {
    return this.#limits.get(upstream) !== undefined;
  }

  /** Time after which sends to the upstream may be had again, milliseconds. */
  getOpenInMs(upstream: string): number {
    const untilMs = this.isLimited(upstream) ? this.#closedUntilMs.get(upstream) : undefined;
    return Math.max(this.#rests.getLeftMs(upstream), (untilMs ?? 0) - this.#clock.now());
  }

  /** How far to avoid an upstream because of its limit, 0 to 1. */
  getAvoidance(upstream: string): number {
    const report = this.#limits.getReport(upstream);
    if (!report) {
      return 0;
    }
    const ageMs = this.#clock.now() - report.receivedMs;
    return report.perSecond === undefined
      ? Math.max(0, 1 - ageMs / RETURN_MS)
      : 0.5 ** (ageMs / AVOIDANCE_HALF_LIFE_MS);
  }

  /** This process's part of the sends a second that the limited ones of these upstreams take. */
  getOwnPerSecond(upstreams: readonly string[]): number {
    const sum = upstreams.reduce((total, id) => total + (this.#limits.get(id)?.perSecond ?? 0), 0);
    return sum / Math.max(1, this.#getMembers().hosts.length);
  }

  /** Takes one send to an upstream; false when it has a limit and none is to be had now. */
  async tryTake(upstream: string): Promise<boolean> {
    const limit = this.#limits.get(upstream);
    if (!limit) {
      return true;
    }
    if (!this.isOpen(upstream)) {
      return false;
    }
    const { isGranted, retryMs } = await this.#ask(limit);
    if (!isGranted) {
      this.#closedUntilMs.set(upstream, this.#clock.now() + retryMs);
      this.#logRefusal(limit, retryMs);
    }
    return isGranted;
  }

  #logRefusal({ upstream, perSecond, receivedMs }: KnownLimit, retryMs: number): void {
    this.#logger.info("upstream left out for its limit", {
      ...{ step: "limit", peer: upstream, perSecond, retryMs: Math.round(retryMs) },
      ageMs: Math.round(this.#clock.now() - receivedMs),
    });
  }

  /** Counts a call that can't wait, such as an order that frees memory. */
  charge(upstream: string): void {
    const limit = this.#limits.get(upstream);
    if (!limit) {
      return;
    }
    const members = this.#getMembers();
    const owner = pickOwner(upstream, members);
    if (owner === members.self) {
      this.#owner.charge(upstream);
    } else {
      this.#peers.charge(owner, limit);
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#closedUntilMs.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.#closedUntilMs.delete(id));
  }

  async #ask(limit: KnownLimit): Promise<QuotaAnswer> {
    const members = this.#getMembers();
    const owner = pickOwner(limit.upstream, members);
    if (owner === members.self) {
      return this.#owner.take(limit.upstream);
    }
    try {
      return await this.#peers.ask(owner, limit);
    } catch (err) {
      this.#logger.warn("quota not granted: no answer from its owner", {
        ...{ step: "limit", peer: limit.upstream, owner, err: getMessage(err) },
      });
      return { isGranted: false, retryMs: NO_ANSWER_RETRY_MS };
    }
  }
}
