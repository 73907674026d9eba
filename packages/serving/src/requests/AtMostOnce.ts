import {
  ClaimState,
  PulleyError,
  Step,
  Verdict,
  type ClaimBody,
  type Protections,
} from "@lycheepulley/core";

import type { ClaimRouter } from "../claims/ClaimRouter.js";
import type { RequestContext } from "./RequestContext.js";

const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE = 422;
const HTTP_UNAVAILABLE = 503;
/** How long a response is held back for its outcome to be appended to the log. */
const OUTCOME_APPEND_TIMEOUT_MS = 1_000;
/** Longest answer that is stored for replay to a repeated key, in characters. */
const MAX_STORED_ANSWER_CHARS = 32_000;

/** Response of the upstream to a request that was dispatched under a claim. */
export interface DispatchOutcome {
  readonly status: number;
  readonly body: string;
}

/** Outcome of this dispatch, or the stored one of an earlier request with the same key. */
export interface OnceOutcome extends DispatchOutcome {
  readonly isReplay: boolean;
}

/** Runs a request at most once, by a claim on its idempotency key in the log. */
export class AtMostOnce {
  readonly #router: ClaimRouter;
  readonly #holder: string;
  readonly #wallNow: () => number;
  readonly #protections: Protections;

  constructor(options: {
    router: ClaimRouter;
    holder: string;
    wallNow: () => number;
    protections: Protections;
  }) {
    this.#router = options.router;
    this.#holder = options.holder;
    this.#wallNow = options.wallNow;
    this.#protections = options.protections;
  }

  /**
   * Claims the key, dispatches once, and records the outcome. After a failed
   * `dispatch`, the context's `hasSent` decides whether the request may have run.
   */
  async run(
    ctx: RequestContext,
    options: { key: string; bodySha256: string },
    dispatch: () => Promise<DispatchOutcome>,
  ): Promise<OnceOutcome> {
    const claim = await this.#claim(ctx, options);
    if (claim) {
      return replayClaim(ctx, claim);
    }
    try {
      ctx.checkDeadline(this.#protections.deadlineCheck);
      const outcome = await dispatch();
      await this.#end(ctx, options.key, ClaimState.Ran, outcome);
      return { ...outcome, isReplay: false };
    } catch (err) {
      const failure = ctx.toError(err);
      const mayHaveRun = failure.verdict === Verdict.MayHaveRun;
      const state = mayHaveRun ? ClaimState.Unknown : ClaimState.NotRun;
      await this.#end(ctx, options.key, state);
      throw failure;
    }
  }

  /**
   * Claims the key; returns the earlier claim to replay, or undefined when this request may
   * dispatch.
   */
  async #claim(
    ctx: RequestContext,
    options: { key: string; bodySha256: string },
  ): Promise<ClaimBody | undefined> {
    const { requestId } = ctx.trace;
    ctx.enter(Step.ClaimAppend, "log");
    const answer = await this.#router.claim(
      {
        ...options,
        requestId,
        holder: this.#holder,
        deadlineMs: this.#wallNow() + Math.max(0, ctx.remainingMs),
      },
      Math.max(1, ctx.remainingMs),
    );
    ctx.enter(Step.ClaimReadBack, "log");
    switch (answer.result) {
      case "granted":
        return undefined;
      case "replay":
        return answer.claim;
      case "in_progress":
        throw newClaimError("in_progress", "an earlier request with this key has not ended", {
          status: HTTP_CONFLICT,
          retryAfterMs: 1_000,
        });
      case "refused_body":
        throw newClaimError("key_reused", "this key was used with another body", {
          status: HTTP_UNPROCESSABLE,
        });
      case "unavailable":
        // This request is never dispatched now, but its claim may still reach the log: end it.
        void this.#router.endWithRetries({ key: options.key, requestId, state: ClaimState.NotRun });
        throw newClaimError("log_unavailable", `no claim could be made: ${answer.message}`, {
          status: HTTP_UNAVAILABLE,
          retryAfterMs: 2_000,
        });
    }
  }

  async #end(
    ctx: RequestContext,
    key: string,
    state: ClaimBody["state"],
    outcome?: DispatchOutcome,
  ): Promise<void> {
    ctx.enter(Step.OutcomeAppend, "log");
    const stored = outcome && { ...outcome, body: outcome.body.slice(0, MAX_STORED_ANSWER_CHARS) };
    const end = { key, requestId: ctx.trace.requestId, state, outcome: stored };
    const isRecorded = await this.#router.end(end, OUTCOME_APPEND_TIMEOUT_MS);
    if (!isRecorded) {
      void this.#router.endWithRetries(end);
    }
  }
}

const replayClaim = (ctx: RequestContext, claim: ClaimBody): OnceOutcome => {
  if (claim.state === ClaimState.Ran && claim.outcome) {
    ctx.trace.mark("replayed", claim.requestId);
    return { ...claim.outcome, isReplay: true };
  }
  throw new PulleyError(`request ${claim.requestId} with this key may have run`, {
    code: "outcome_unknown",
    step: Step.ClaimReadBack,
    peer: "log",
    verdict: Verdict.MayHaveRun,
    status: HTTP_CONFLICT,
  });
};

const newClaimError = (
  code: string,
  message: string,
  options: { status: number; retryAfterMs?: number },
): PulleyError =>
  new PulleyError(message, {
    code,
    step: Step.ClaimReadBack,
    peer: "log",
    verdict: options.retryAfterMs === undefined ? Verdict.NotRun : Verdict.RefusedUntil,
    ...options,
  });
