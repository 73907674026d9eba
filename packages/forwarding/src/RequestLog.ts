import type { Logger } from "@lycheepulley/telemetry";

import { getShareFields } from "./PromptAdmission.js";
import type { InvalidAnswer } from "./answerProgress.js";
import type { AnswerTimeline } from "./AnswerTimeline.js";
import type { KnownLimit } from "./limits/UpstreamLimits.js";
import type { NextStep, SendOutcome } from "./outcomes.js";
import type { Placement } from "./Placer.js";
import type { ForwardRequest } from "./types.js";

/** What the caller received in the end. */
export const AnswerEnding = {
  /** An upstream's complete answer. */
  Whole: "whole",
  /** An answer of this process. */
  Own: "own",
  /** The connection was closed in the middle of an answer. */
  Cut: "cut",
  /** Nothing: the caller had left. */
  None: "none",
} as const;
export type AnswerEnding = (typeof AnswerEnding)[keyof typeof AnswerEnding];

/** Characters of a value from outside that go into a log line. */
const MAX_VALUE_LENGTH = 40;

/** What was believed of the request's cost, where costs are learned. */
const getLearned = ({ plan, request, cost }: Placement): object =>
  request?.isLearned || cost?.callMs !== undefined
    ? {
        ...(plan && { answerTokens: request?.outputTokens, pace: round(plan.decode.pace) }),
        ...(cost?.callMs !== undefined && { callMs: Math.round(cost.callMs) }),
      }
    : {};

const round = (value: number): number => Number(value.toFixed(2));

/** Writes the log lines of one request's decisions. */
export class RequestLog {
  readonly #logger: Logger;
  readonly #req: ForwardRequest;

  constructor(logger: Logger, req: ForwardRequest) {
    this.#logger = logger;
    this.#req = req;
  }

  /** `listedMs` is the time at which the upstream list was current. */
  logSend(
    placed: Placement,
    fields: { sends: number; nowMs: number; listedMs: number; limit: KnownLimit | undefined },
  ): void {
    const { head, route, revision, receivedMs, customer } = this.#req;
    const { sends, nowMs, listedMs, limit } = fields;
    this.#logger.info("sent to upstream", {
      ...{ requestId: head.attemptId, step: "send", peer: placed.upstream.id, route: route.name },
      ...{ customer, tokens: head.promptTokens, revision, sends },
      ...(head.sharedParts.length > 0 && { parts: head.sharedParts }),
      helpers: placed.plan?.helpers.map(({ id }) => id) ?? [],
      held: placed.plan?.heldTokens.filter((tokens) => tokens > 0).length ?? 0,
      expectedMs: Math.round(placed.plan?.firstEventMs ?? 0),
      loss: Number((placed.plan?.loss ?? 0).toFixed(2)),
      ...getLearned(placed),
      ...getShareFields(placed.share),
      listAgeMs: Math.round(nowMs - listedMs),
      waitedMs: Math.round(nowMs - receivedMs),
      ...(limit && { limit: limit.perSecond, limitAgeMs: Math.round(nowMs - limit.receivedMs) }),
    });
  }

  logSendEnd(
    peer: string,
    { result, reason, end }: SendOutcome,
    fields: { next: NextStep; sends: number; nowMs: number },
  ): void {
    const { next, sends, nowMs } = fields;
    this.#logger.info("send ended", {
      ...{ requestId: this.#req.head.attemptId, step: "send", peer },
      ...{ result, reason, next, sends, ...end },
      ms: Math.round(nowMs - this.#req.receivedMs),
    });
  }

  /** An upstream broke off or fell silent; `crashes` counts the upstreams that did so under equal requests. */
  logBreak(peer: string, fields: { reason: string; crashes: number }): void {
    const { attemptId, sharedParts } = this.#req.head;
    this.#logger.info("upstream broke off", {
      ...{ requestId: attemptId, step: "send", peer, ...fields, parts: sharedParts },
    });
  }

  /** An upstream sent what is no part of an answer; the bytes themselves aren't logged. */
  logInvalid(peer: string, invalid: InvalidAnswer, sends: number): void {
    const { fault, offset, framing, form, cost } = invalid;
    this.#logger.warn("upstream answer invalid", {
      ...{ requestId: this.#req.head.attemptId, step: "send", peer, fault, offset, framing, sends },
      ...(form && { form }),
      ...(cost && { pieces: cost.pieces, bytes: cost.bytes, ms: Math.round(cost.ms) }),
    });
  }

  /** `isExpected`: its prefill explains the silence; `next`: whether another upstream is tried beside it. */
  logStall(
    peer: string,
    fields: {
      reason: string;
      isAlive: boolean;
      isExpected: boolean;
      next: NextStep;
      sends: number;
    },
  ): void {
    this.#logger.info("upstream stalled", {
      ...{ requestId: this.#req.head.attemptId, step: "send", peer, ...fields },
    });
  }

  logFirstEvent(placement: Placement, timeline: AnswerTimeline): void {
    this.#logger.info("first event received", {
      ...{ requestId: this.#req.head.attemptId, step: "first_token", peer: placement.upstream.id },
      ms: Math.round(timeline.firstMs ?? 0),
      expectedMs: Math.round(placement.waitedMs + (placement.plan?.firstEventMs ?? 0)),
    });
  }

  logLeaving(peer: string): void {
    this.#logger.info("upstream leaves", {
      ...{ requestId: this.#req.head.attemptId, step: "membership", peer, from: "answer" },
    });
  }

  logUnreadableLimit(peer: string, value: string): void {
    this.#logger.warn("upstream limit unreadable", {
      ...{ requestId: this.#req.head.attemptId, step: "limit", peer },
      value: value.slice(0, MAX_VALUE_LENGTH),
    });
  }

  logError(err: unknown): void {
    this.#logger.error("request failed with an internal error", {
      ...{ requestId: this.#req.head.attemptId, step: "send", revision: this.#req.revision },
      err: err instanceof Error ? (err.stack ?? err.message) : String(err),
    });
  }

  logEjection(peer: string, reason: string): void {
    this.#logger.info("upstream ejected", { step: "send", peer, reason });
  }

  logEnd(
    timeline: AnswerTimeline,
    fields: {
      result: string;
      reason: string | undefined;
      ending: AnswerEnding;
      sends: number;
      totalMs: number;
    },
  ): void {
    const { totalMs, ...rest } = fields;
    const { head, route } = this.#req;
    this.#logger.info("request ended", {
      ...{ requestId: head.attemptId, step: "reply", route: route.name, ...rest },
      ms: Math.round(totalMs),
      longestGapMs: Math.round(timeline.longestGapMs),
    });
  }
}
