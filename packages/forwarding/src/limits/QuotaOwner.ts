import { TokenBucket, type Clock } from "@lycheepulley/core";

import { isUncertain, type Members } from "../members.js";
import type { ColdReport, ColdUpstreams } from "./ColdUpstreams.js";
import { MemberViews } from "./MemberViews.js";
import { PartSlots } from "./PartSlots.js";
import { SendWindow } from "./SendWindow.js";
import { SharedRates, type SharedRate } from "./SharedRates.js";
import type { LimitReport, UpstreamLimits } from "./UpstreamLimits.js";

/** Share of a rate that is granted, since sends may arrive closer together than they left. */
const GRANTED_SHARE = 0.95;
/** The same while another process may still take itself for the owner, at most. */
const UNSETTLED_SHARE = 0.4;
/** Share of a rate that processes that may be cut off send in all, while others grant it. */
const PARTIAL_SHARE = 0.4;
/** Time without a change of owner after which no other process grants the same rate. */
const SETTLE_MS = 5_000;
/** Sends that an unused quota saves up, at most. */
const MAX_BURST_SENDS = 2;
/** The same for a limit, which holds over some seconds: those of this time, between two bounds. */
const LIMIT_BURST_S = 0.5;
const MAX_LIMIT_BURST_SENDS = 4;
/** Longest time after which a process asks again. */
const MAX_RETRY_MS = 2_000;
const MS_PER_S = 1_000;

/** How far the sum of all processes may exceed a rate in one second: `over` times the rate, and `slack` more. */
export interface RateBounds {
  readonly over: number;
  readonly slack: number;
}
export const DEFAULT_RATE_BOUNDS: RateBounds = { over: 1.5, slack: 5 };

/** Answer to a process that asks for one send. */
export interface QuotaAnswer {
  readonly isGranted: boolean;
  /** Time after which to ask again, milliseconds. */
  readonly retryMs: number;
  /** The send was taken out of a rate; absent in answers of processes that don't know cold upstreams. */
  readonly isCounted?: boolean | undefined;
  /** What the owner knows of the upstream's limit. */
  readonly report?: LimitReport | undefined;
}

interface Quota {
  readonly burst: number;
  readonly bucket: TokenBucket;
  readonly window: SendWindow;
  /** Refused requests since the last granted one; each is told to come back one send later. */
  refused: number;
}

const UNLIMITED: QuotaAnswer = { isGranted: true, retryMs: 0 };
const REFUSED: QuotaAnswer = { isGranted: false, retryMs: MAX_RETRY_MS };

/**
 * Grants sends to upstreams whose rate all processes share. Each upstream has one owner. While
 * processes may disagree about it, each grants so little that two of them stay within the bounds.
 */
export class QuotaOwner {
  readonly #clock: Clock;
  readonly #limits: UpstreamLimits;
  readonly #cold: ColdUpstreams | undefined;
  readonly #rates: SharedRates;
  readonly #views: MemberViews;
  readonly #slots: PartSlots;
  readonly #burst: number;
  readonly #unsettledShare: number;
  readonly #quotas = new Map<string, Quota>();

  constructor(options: {
    clock: Clock;
    limits: UpstreamLimits;
    /** Undefined where no upstream is ever cold. */
    cold?: ColdUpstreams | undefined;
    bounds?: RateBounds | undefined;
    getMembers: () => Members;
  }) {
    const { clock, limits, cold, getMembers } = options;
    const { over, slack } = options.bounds ?? DEFAULT_RATE_BOUNDS;
    this.#clock = clock;
    this.#limits = limits;
    this.#cold = cold;
    this.#rates = new SharedRates(limits, cold);
    this.#views = new MemberViews({ clock, settleMs: SETTLE_MS, getMembers });
    this.#slots = new PartSlots(clock);
    // Two owners save up sends each, and one request may be late.
    this.#burst = Math.min(MAX_BURST_SENDS, Math.max(1, (slack - 1) / 2));
    this.#unsettledShare = Math.min(UNSETTLED_SHARE, Math.max(0, over - GRANTED_SHARE));
  }

  /** Starts the quotas that this process owns and notes changes of owners; to be called regularly. */
  observe(): void {
    const { self } = this.#views.observe();
    for (const rate of this.#rates.all) {
      if (this.#views.getOwner(rate.upstream) === self) {
        this.#getQuota(rate);
      }
    }
  }

  /** The process that grants sends to an upstream; this one while it may be cut off. */
  getGranter(upstream: string): string {
    const members = this.#views.observe();
    return isUncertain(members) ? members.self : (this.#views.getOwner(upstream) ?? members.self);
  }

  /** Takes one send out of an upstream's quota for a peer, which tells what it knows of the rate. */
  takeForPeer(peer: string, limit: LimitReport, cold?: ColdReport): QuotaAnswer {
    this.#limits.recordPeer(peer, limit);
    if (cold) {
      this.#cold?.recordPeer(peer, cold);
    }
    const rate = this.#rates.get(limit.upstream);
    const members = this.#views.observe();
    const answer = rate && isUncertain(members) ? REFUSED : this.take(limit.upstream);
    const report = this.#limits.getReport(limit.upstream);
    return { ...answer, ...(report?.perSecond !== limit.perSecond && { report }) };
  }

  /** Takes one send out of an upstream's quota. */
  take(upstream: string): QuotaAnswer {
    const rate = this.#rates.get(upstream);
    if (!rate) {
      return UNLIMITED;
    }
    const members = this.#views.observe();
    if (isUncertain(members)) {
      return this.#takePart(rate);
    }
    if (this.#views.getOwner(upstream) !== members.self) {
      return REFUSED;
    }
    const quota = this.#getQuota(rate);
    const { limitPerSecond } = rate;
    const windowMs = limitPerSecond === undefined ? 0 : quota.window.getWaitMs(limitPerSecond);
    if (windowMs <= 0 && quota.bucket.tryTake()) {
      quota.window.record(rate.limitPerSecond ?? rate.perSecond);
      quota.refused = 0;
      return { isGranted: true, retryMs: 0, isCounted: true };
    }
    const waitMs = (quota.refused * MS_PER_S) / this.#getPerSecond(rate);
    quota.refused += 1;
    return {
      isGranted: false,
      retryMs: Math.min(MAX_RETRY_MS, Math.max(windowMs, quota.bucket.getWaitMs()) + waitMs),
    };
  }

  /** Takes one send out of this process's own part, which no other process counts. */
  takePart(upstream: string): QuotaAnswer {
    const rate = this.#rates.get(upstream);
    return rate ? this.#takePart(rate) : UNLIMITED;
  }

  #takePart({ upstream, perSecond }: SharedRate): QuotaAnswer {
    const { hosts, self, known } = this.#views.observe();
    // A process that sees no other is more likely cut off than the last one.
    const share = hosts.every((host) => host === self) ? GRANTED_SHARE : PARTIAL_SHARE;
    const retryMs = this.#slots.take(self, upstream, (perSecond * share) / (known + 1));
    return { isGranted: retryMs === 0, retryMs: Math.min(MAX_RETRY_MS, retryMs), isCounted: true };
  }

  /** Counts a call to an upstream that couldn't wait for a grant. */
  charge(upstream: string): void {
    const rate = this.#rates.get(upstream);
    if (rate) {
      this.#views.observe();
      const quota = this.#getQuota(rate);
      quota.bucket.take();
      quota.window.record(rate.limitPerSecond ?? rate.perSecond);
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#quotas.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#quotas.delete(id));
    this.#views.retain(ids);
    this.#slots.retain(ids);
  }

  #getPerSecond({ upstream, perSecond }: SharedRate): number {
    return perSecond * (this.#views.isSettled(upstream) ? GRANTED_SHARE : this.#unsettledShare);
  }

  #getBurst({ perSecond, isCold }: SharedRate): number {
    return isCold
      ? this.#burst
      : Math.min(MAX_LIMIT_BURST_SENDS, Math.max(this.#burst, perSecond * LIMIT_BURST_S));
  }

  #getQuota(rate: SharedRate): Quota {
    const ratePerS = this.#getPerSecond(rate);
    const burst = this.#getBurst(rate);
    let quota = this.#quotas.get(rate.upstream);
    if (quota?.burst !== burst) {
      // The owner before, if any, has granted the sends of this moment.
      const tokens = { burst, initialTokens: 0 };
      const bucket = new TokenBucket({ clock: this.#clock, ratePerS, ...tokens });
      quota = { burst, bucket, window: new SendWindow(this.#clock), refused: 0 };
      this.#quotas.set(rate.upstream, quota);
    }
    quota.bucket.setRate(ratePerS);
    return quota;
  }
}
