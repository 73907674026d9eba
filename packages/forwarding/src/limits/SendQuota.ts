import { getMessage, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Members } from "../members.js";
import type { ColdReport, ColdUpstreams } from "./ColdUpstreams.js";
import type { QuotaAnswer, QuotaOwner } from "./QuotaOwner.js";
import { SharedRates, type SharedRate } from "./SharedRates.js";
import type { LimitReport, UpstreamLimits } from "./UpstreamLimits.js";
import type { UpstreamRests } from "./UpstreamRests.js";

/** Time after which an owner that didn't answer is asked again. */
const NO_ANSWER_RETRY_MS = 500;
/** Time over which requests return to an upstream whose limit was lifted. */
const RETURN_MS = 1_500;
/** How far to avoid an upstream that names a limit: it helps with no prompt, and is used up to its limit. */
const LIMITED_AVOIDANCE = 0.0001;
/** A limit from here on is above what placement sends to one engine, and changes nothing. */
const HIGH_LIMIT_PER_SECOND = 10;
/** How far to avoid an upstream that has just become cold, and is slow. */
const COLD_AVOIDANCE = 0.02;
/** Time since a report without content, which is older than any other. */
const NO_REPORT_MS = 10_000_000;

/** Asks other processes for sends to upstreams whose rate they share. */
export interface QuotaPeers {
  /** Asks the owner for one send; rejects when it doesn't answer in time. */
  ask(host: string, limit: LimitReport, cold?: ColdReport): Promise<QuotaAnswer>;
  /** Tells the owner of a call that couldn't wait for its grant. */
  charge(host: string, limit: LimitReport): void;
}

/**
 * Decides whether this process may send to an upstream now, and if not, from when on: by the rests that
 * it was asked for and by the quotas that all processes share.
 */
export class SendQuota {
  readonly #clock: Clock;
  readonly #limits: UpstreamLimits;
  readonly #cold: ColdUpstreams | undefined;
  readonly #rates: SharedRates;
  readonly #rests: UpstreamRests;
  readonly #owner: QuotaOwner;
  readonly #peers: QuotaPeers;
  readonly #getMembers: () => Members;
  readonly #logger: Logger;
  /** Sends that this process asked for at cold upstreams since the start. */
  readonly #coldSends = { used: 0, refused: 0 };
  /** Times until which no sends to an upstream are to be had. */
  readonly #closedUntilMs = new Map<string, number>();

  constructor(options: {
    clock: Clock;
    limits: UpstreamLimits;
    /** Undefined where no upstream is ever cold. */
    cold?: ColdUpstreams | undefined;
    rests: UpstreamRests;
    owner: QuotaOwner;
    peers: QuotaPeers;
    getMembers: () => Members;
    logger: Logger;
  }) {
    this.#clock = options.clock;
    this.#limits = options.limits;
    this.#cold = options.cold;
    this.#rates = new SharedRates(options.limits, options.cold);
    this.#rests = options.rests;
    this.#owner = options.owner;
    this.#peers = options.peers;
    this.#getMembers = options.getMembers;
    this.#logger = options.logger;
  }

  /** Sends at cold upstreams since the start: those that their shared rate let pass, and the others. */
  get coldSends(): Readonly<Record<"used" | "refused", number>> {
    return this.#coldSends;
  }

  /** True unless the upstream rests, or its quota was used up when this process last asked. */
  isOpen(upstream: string): boolean {
    return this.getOpenInMs(upstream) <= 0;
  }

  isResting(upstream: string): boolean {
    return this.#rests.getLeftMs(upstream) > 0;
  }

  /** True for an upstream that takes only so many requests a second from all processes. */
  isLimited(upstream: string): boolean {
    return this.#rates.get(upstream) !== undefined;
  }

  /** True for an upstream that names a limit itself. */
  namesLimit(upstream: string): boolean {
    return this.#limits.get(upstream) !== undefined;
  }

  /** Time after which sends to the upstream may be had again, milliseconds. */
  getOpenInMs(upstream: string): number {
    const untilMs = this.isLimited(upstream) ? this.#closedUntilMs.get(upstream) : undefined;
    return Math.max(this.#rests.getLeftMs(upstream), (untilMs ?? 0) - this.#clock.now());
  }

  /** How far to avoid an upstream because of its limit or because it is cold, 0 to 1. */
  getAvoidance(upstream: string): number {
    return Math.max(this.#getLimitAvoidance(upstream), this.#getColdAvoidance(upstream));
  }

  #getLimitAvoidance(upstream: string): number {
    const limit = this.#limits.get(upstream);
    if (limit) {
      return limit.perSecond < HIGH_LIMIT_PER_SECOND ? LIMITED_AVOIDANCE : 0;
    }
    const liftedForMs = this.#limits.getLiftedForMs(upstream) ?? Infinity;
    return Math.max(0, 1 - liftedForMs / RETURN_MS);
  }

  #getColdAvoidance(upstream: string): number {
    const cold = this.#cold?.get(upstream);
    return cold ? COLD_AVOIDANCE * Math.min(1, cold.leftMs / cold.durationMs) : 0;
  }

  /** This process's part of the sends a second that the limited ones of these upstreams take. */
  getOwnPerSecond(upstreams: readonly string[]): number {
    const sum = upstreams.reduce((total, id) => total + (this.#rates.get(id)?.perSecond ?? 0), 0);
    return sum / Math.max(1, this.#getMembers().hosts.length);
  }

  /** Takes one send to an upstream; false when its rate is shared and none is to be had now. */
  async tryTake(upstream: string): Promise<boolean> {
    const rate = this.#rates.get(upstream);
    if (!rate) {
      return true;
    }
    if (!this.isOpen(upstream)) {
      return false;
    }
    const { isGranted, retryMs } = await this.#ask(rate);
    if (rate.isCold) {
      this.#coldSends[isGranted ? "used" : "refused"] += 1;
    }
    if (!isGranted) {
      this.#closedUntilMs.set(upstream, this.#clock.now() + retryMs);
      this.#logRefusal(rate, retryMs);
    }
    return isGranted;
  }

  #logRefusal({ upstream, perSecond, isCold }: SharedRate, retryMs: number): void {
    const report = this.#limits.getReport(upstream);
    this.#logger.info("upstream left out for its limit", {
      ...{ step: "limit", peer: upstream, perSecond, isCold, retryMs: Math.round(retryMs) },
      ...(isCold && { coldUsed: this.#coldSends.used, coldRefused: this.#coldSends.refused }),
      ...(report && { ageMs: Math.round(this.#clock.now() - report.receivedMs) }),
    });
  }

  /** Counts a call that can't wait, such as an order that frees memory. */
  charge(upstream: string): void {
    if (!this.isLimited(upstream)) {
      return;
    }
    const granter = this.#owner.getGranter(upstream);
    if (granter === this.#getMembers().self) {
      this.#owner.charge(upstream);
    } else {
      this.#peers.charge(granter, this.#getReport(upstream));
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#closedUntilMs.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.#closedUntilMs.delete(id));
  }

  /** What this process knows of an upstream's limit; a report that tells nothing without one. */
  #getReport(upstream: string): LimitReport {
    const atMs = this.#clock.now() - NO_REPORT_MS;
    return (
      this.#limits.getReport(upstream) ?? {
        ...{ upstream, perSecond: undefined, sentMs: atMs, receivedMs: atMs },
      }
    );
  }

  async #ask({ upstream, isCold }: SharedRate): Promise<QuotaAnswer> {
    const granter = this.#owner.getGranter(upstream);
    if (granter === this.#getMembers().self) {
      return this.#owner.take(upstream);
    }
    try {
      const cold = this.#cold?.get(upstream);
      const answer = await this.#peers.ask(granter, this.#getReport(upstream), cold);
      if (answer.report) {
        this.#limits.recordPeer(granter, answer.report);
      }
      // An owner of an earlier build doesn't know cold upstreams.
      const isUncounted = isCold && answer.isGranted && answer.isCounted !== true;
      return isUncounted ? this.#owner.takePart(upstream) : answer;
    } catch (err) {
      this.#logger.warn("quota not granted: no answer from its owner", {
        ...{ step: "limit", peer: upstream, owner: granter, err: getMessage(err) },
      });
      return { isGranted: false, retryMs: NO_ANSWER_RETRY_MS };
    }
  }
}
