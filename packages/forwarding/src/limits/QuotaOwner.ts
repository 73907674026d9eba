import { TokenBucket, type Clock } from "@lycheepulley/core";

import { pickOwner, type Members } from "../members.js";
import type { KnownLimit, LimitReport, UpstreamLimits } from "./UpstreamLimits.js";

/** Sends that an unused quota saves up. */
const BURST_SENDS = 2;
/** Share of a limit that is granted, since sends may arrive closer together than they left. */
const GRANTED_SHARE = 0.95;
/** The same while another process may still take itself for the owner. */
const UNSETTLED_SHARE = 0.5;
/** Time without a change of owner after which no other process grants the same limit. */
const SETTLE_MS = 15_000;
/** Sends a second to an upstream whose limit is lower, so that its end gets known. */
const MIN_PER_SECOND = 0.1;
/** Longest time after which a process asks again. */
const MAX_RETRY_MS = 2_000;

/** Answer to a process that asks for one send. */
export interface QuotaAnswer {
  readonly isGranted: boolean;
  /** Time after which to ask again, milliseconds. */
  readonly retryMs: number;
}

interface Quota {
  readonly bucket: TokenBucket;
  /** Refused requests since the last granted one; each is told to come back one send later. */
  refused: number;
}

/** Members that this process saw until some time. */
interface MembersView {
  readonly members: Members | undefined;
  readonly key: string | undefined;
  untilMs: number;
}

/**
 * Grants sends to upstreams with limits, for all processes. Each upstream has one owner. While
 * processes may disagree about it, each grants so little that two of them stay within the limit.
 */
export class QuotaOwner {
  readonly #clock: Clock;
  readonly #limits: UpstreamLimits;
  readonly #getMembers: () => Members;
  readonly #quotas = new Map<string, Quota>();
  /** Members in the last `SETTLE_MS`, oldest first; undefined before this process saw any. */
  #views: MembersView[] = [];

  constructor(options: { clock: Clock; limits: UpstreamLimits; getMembers: () => Members }) {
    this.#clock = options.clock;
    this.#limits = options.limits;
    this.#getMembers = options.getMembers;
    this.#views.push({ members: undefined, key: undefined, untilMs: this.#clock.now() });
  }

  /** Starts the quotas that this process owns and notes changes of owners; to be called regularly. */
  observe(): void {
    const members = this.#getMembers();
    this.#observeMembers(members);
    for (const limit of this.#limits.all) {
      if (pickOwner(limit.upstream, members) === members.self) {
        this.#getQuota(limit.upstream, this.#getRate(limit, members));
      }
    }
  }

  #observeMembers(members: Members): void {
    const now = this.#clock.now();
    const last = this.#views.at(-1);
    const key = getKey(members);
    if (last?.key === key) {
      last.untilMs = now;
    } else {
      this.#views.push({ members, key, untilMs: now });
    }
    this.#views = this.#views.filter(({ untilMs }) => now - untilMs < SETTLE_MS);
  }

  /** Takes one send out of an upstream's quota for a peer, which tells the limit that it knows. */
  takeForPeer(peer: string, limit: LimitReport): QuotaAnswer {
    this.#limits.recordPeer(peer, limit);
    return this.take(limit.upstream);
  }

  /** Takes one send out of an upstream's quota. */
  take(upstream: string): QuotaAnswer {
    const limit = this.#limits.get(upstream);
    if (!limit) {
      return { isGranted: true, retryMs: 0 };
    }
    const members = this.#getMembers();
    this.#observeMembers(members);
    if (pickOwner(upstream, members) !== members.self) {
      return { isGranted: false, retryMs: MAX_RETRY_MS };
    }
    const ratePerS = this.#getRate(limit, members);
    const quota = this.#getQuota(upstream, ratePerS);
    if (quota.bucket.tryTake()) {
      quota.refused = 0;
      return { isGranted: true, retryMs: 0 };
    }
    const retryMs = quota.bucket.getWaitMs() + (quota.refused * 1_000) / ratePerS;
    quota.refused += 1;
    return { isGranted: false, retryMs: Math.min(MAX_RETRY_MS, retryMs) };
  }

  /** Counts a call to an upstream that couldn't wait for a grant. */
  charge(upstream: string): void {
    const limit = this.#limits.get(upstream);
    if (limit) {
      const ratePerS = this.#getRate(limit, this.#getMembers());
      this.#getQuota(upstream, ratePerS).bucket.take();
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<string>): void {
    [...this.#quotas.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#quotas.delete(id));
  }

  #getRate({ upstream, perSecond }: KnownLimit, members: Members): number {
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    const isAlone = members.hosts.every((host) => host === members.self);
    if (isAlone && members.known > 0) {
      // This process is more likely cut off than the last one; the others go on without it.
      return rate / (members.known + 1);
    }
    const isSettled = this.#views.every(
      (view) => view.members && pickOwner(upstream, view.members) === members.self,
    );
    return rate * (isSettled ? GRANTED_SHARE : UNSETTLED_SHARE);
  }

  #getQuota(upstream: string, ratePerS: number): Quota {
    let quota = this.#quotas.get(upstream);
    if (!quota) {
      // The owner before, if any, has granted the sends of this moment.
      const tokens = { burst: BURST_SENDS, initialTokens: 0 };
      const bucket = new TokenBucket({ clock: this.#clock, ratePerS, ...tokens });
      quota = { bucket, refused: 0 };
      this.#quotas.set(upstream, quota);
    }
    quota.bucket.setRate(ratePerS);
    return quota;
  }
}

const getKey = ({ hosts }: Members): string => [...hosts].sort().join();
