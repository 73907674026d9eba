import type { Clock } from "@lycheepulley/core";

import { SendResult, type SendOutcome } from "../outcomes.js";
import type { Placement } from "../Placer.js";
import type { SendObserver } from "../answerProgress.js";
import type { ForwardRequest } from "../types.js";
import { CostKind, type CostBook, type CostKey } from "./CostBook.js";
import { EstimateKind } from "./EstimateErrors.js";

/** Gaps from which an answer tells the pace of its upstream. */
const MIN_GAPS = 4;
/** Most gaps of one answer that are looked at. */
const MAX_GAPS = 64;
/** Prompts that are prefilled meanwhile lengthen most gaps; the shorter ones are passes without them. */
const PASS_QUANTILE = 0.1;
const FIRST_ERROR_STATUS = 300;

/** What one ended send may teach. */
export interface Lessons {
  /** Length of the answer. */
  readonly length: boolean;
  /** Pace of the upstream, from the gaps of the answer. */
  readonly pace: boolean;
  /** Time of a call, and with it the pace of the upstream. */
  readonly call: boolean;
}

/** A send as far as it matters for what it teaches. */
export interface EndedSend {
  readonly result: SendResult;
  readonly status: number | undefined;
  /** An earlier send wrote a part of the answer. */
  readonly isResumed: boolean;
  readonly isStream: boolean;
  readonly gaps: number;
  /** The upstream had a free slot when it was chosen. */
  readonly hadSlot: boolean;
  /** Other upstreams hold parts of the prompt, on which each pass waits. */
  readonly hasHelpers: boolean;
}

const NONE: Lessons = { length: false, pace: false, call: false };
/** Results of sends that were stopped here, while the upstream did its work as usual. */
const STOPPED: ReadonlySet<SendResult> = new Set([
  SendResult.Cancelled,
  SendResult.TimedOut,
  SendResult.Leaving,
]);

/**
 * What an ended send teaches: a whole answer everything, one that was stopped here only the pace that
 * was seen, and one that broke off, failed or was overtaken by another send nothing.
 */
export const getLessons = (send: EndedSend): Lessons => {
  const { result, status = 0, isResumed, isStream, gaps, hadSlot, hasHelpers } = send;
  const isSuccess = status >= 200 && status < FIRST_ERROR_STATUS;
  const isWhole = result === SendResult.Delivered;
  if (!isSuccess || (!isWhole && !STOPPED.has(result))) {
    return NONE;
  }
  return {
    length: isWhole && isStream && !isResumed,
    pace: isStream && gaps >= MIN_GAPS && !hasHelpers,
    call: isWhole && !isStream && hadSlot,
  };
};

/** Follows one send, and records what its end teaches. */
export class CostLesson {
  readonly #costs: CostBook;
  readonly #clock: Clock;
  readonly #req: ForwardRequest;
  readonly #placement: Placement;
  readonly #isResumed: boolean;
  readonly #gaps: number[] = [];
  #openedMs = 0;
  #headMs: number | undefined;
  #status: number | undefined;
  #firstMs: number | undefined;
  #lastMs = 0;
  #events = 0;

  constructor(options: {
    costs: CostBook;
    clock: Clock;
    req: ForwardRequest;
    placement: Placement;
    /** The caller has a part of the answer already. */
    isResumed: boolean;
  }) {
    this.#costs = options.costs;
    this.#clock = options.clock;
    this.#req = options.req;
    this.#placement = options.placement;
    this.#isResumed = options.isResumed;
  }

  /** An observer that tells this lesson and `observer` of the send. */
  follow(observer: SendObserver): SendObserver {
    return {
      canReplace: () => observer.canReplace(),
      isExpected: () => observer.isExpected(),
      replace: (stall) => observer.replace(stall),
      onProgress: () => {
        observer.onProgress();
      },
      onOpen: () => {
        this.#openedMs = this.#clock.now();
        observer.onOpen();
      },
      onHead: (facts, status) => {
        this.#headMs ??= this.#clock.now();
        this.#status = status;
        observer.onHead(facts, status);
      },
      onInvalid: (invalid) => {
        observer.onInvalid(invalid);
      },
      onEvents: (count) => {
        this.#recordEvents(count);
        observer.onEvents(count);
      },
    };
  }

  /** Records what the send taught. */
  end({ result }: SendOutcome): void {
    const { upstream, plan, cost } = this.#placement;
    const lessons = getLessons({
      ...{ result, status: this.#status, isResumed: this.#isResumed, isStream: this.#events > 0 },
      ...{ gaps: this.#gaps.length, hadSlot: (cost?.takenShare ?? 0) < 1 },
      hasHelpers: (plan?.helpers.length ?? 0) > 0,
    });
    const key: CostKey = {
      ...{ pool: upstream.pool, route: this.#req.route.name, customer: this.#req.customer },
    };
    const { outputTokens: limitTokens, outputHint: hintTokens } = this.#req.head;
    if (lessons.length && plan) {
      const tokens = this.#events * plan.decode.tokensPerPass;
      this.#costs.recordLength(key, { limitTokens, hintTokens }, tokens);
      this.#recordErrors(this.#placement, tokens);
    }
    if (lessons.pace && plan) {
      this.#recordPace(key, plan.decode);
    }
    if (lessons.call && !plan) {
      this.#recordCall(key);
    }
  }

  #recordEvents(count: number): void {
    const now = this.#clock.now();
    if (this.#firstMs === undefined) {
      this.#firstMs = now;
    } else if (this.#gaps.length < MAX_GAPS) {
      this.#gaps.push((now - this.#lastMs) / count);
    }
    this.#events += count;
    this.#lastMs = now;
  }

  #recordErrors({ plan, request }: Placement, tokens: number): void {
    const { errors } = this.#costs;
    const firstMs = this.#firstMs ?? 0;
    errors.record(EstimateKind.Length, request?.outputTokens ?? 0, tokens);
    errors.record(EstimateKind.First, plan?.firstEventMs ?? 0, firstMs - this.#openedMs);
    errors.record(EstimateKind.Answer, plan?.decode.writeMs ?? 0, this.#lastMs - firstMs);
  }

  #recordPace(key: CostKey, { passMs, pace }: { passMs: number; pace: number }): void {
    const { upstream, cost } = this.#placement;
    const sorted = [...this.#gaps].sort((a, b) => a - b);
    // The shortest gap may be one between events that arrived together.
    const seenMs = sorted[Math.max(1, Math.floor(sorted.length * PASS_QUANTILE))] ?? 0;
    const ratio = (seenMs * pace) / passMs;
    // Prompts are prefilled at all upstreams of a pool, so that an upstream is slow only beside others.
    const usual = this.#costs.estimate(CostKind.Pass, key) ?? ratio;
    this.#costs.paces.record(upstream.id, ratio / usual, cost?.takenShare ?? 0);
    this.#costs.record(CostKind.Pass, key, ratio);
    const meanMs = (this.#lastMs - (this.#firstMs ?? 0)) / Math.max(1, this.#events - 1);
    this.#costs.record(CostKind.Stretch, key, meanMs / passMs);
  }

  #recordCall(key: CostKey): void {
    const { upstream, cost } = this.#placement;
    const seenMs = (this.#headMs ?? 0) - this.#openedMs;
    if (cost?.callMs !== undefined) {
      this.#costs.paces.record(upstream.id, seenMs / cost.callMs, cost.takenShare);
    }
    this.#costs.record(CostKind.Call, key, seenMs);
    this.#costs.errors.record(EstimateKind.Call, cost?.writeMs ?? 0, seenMs);
  }
}
