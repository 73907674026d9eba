import { FateState, isPeerError, PulleyError, Step, Verdict, type Clock } from "@lycheepulley/core";

import type { Logger } from "@lycheepulley/telemetry";

import type { RequestTrace } from "../fates/FateRecorder.js";

/**
 * Context of an in-flight request: trace, deadline, present step, and whether anything was sent.
 */
export class RequestContext {
  readonly trace: RequestTrace;
  readonly deadlineMs: number;
  readonly #clock: Clock;
  readonly #logger: Logger;
  #step: Step = Step.Accept;
  #peer = "self";
  #hasSent = false;

  constructor(options: { trace: RequestTrace; clock: Clock; patienceMs: number; logger: Logger }) {
    this.trace = options.trace;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.deadlineMs = options.trace.startMs + options.patienceMs;
  }

  get remainingMs(): number {
    return this.deadlineMs - this.#clock.now();
  }

  /** True once any byte may have reached an upstream. */
  get hasSent(): boolean {
    return this.#hasSent;
  }

  get step(): Step {
    return this.#step;
  }

  enter(step: Step, peer = "self"): void {
    this.#step = step;
    this.#peer = peer;
    this.trace.mark(step, peer === "self" ? "" : peer);
  }

  noteSent(): void {
    this.#hasSent = true;
  }

  /** Throws once the deadline has passed, so that nothing is sent after it. */
  checkDeadline(isChecked = true): void {
    if (isChecked && this.remainingMs <= 0) {
      throw this.newError("deadline_exceeded", "the class's time is over", 504);
    }
  }

  /** Creates an error at the present step; its verdict tells whether the request may have run. */
  newError(code: string, message: string, status = 503, cause?: unknown): PulleyError {
    return new PulleyError(message, {
      code,
      step: this.#step,
      peer: this.#peer,
      status,
      cause,
      verdict: this.#hasSent ? Verdict.MayHaveRun : Verdict.NotRun,
    });
  }

  /** Converts anything thrown to an error with step, peer and verdict, and logs one of this process. */
  toError(err: unknown): PulleyError {
    if (err instanceof PulleyError) {
      return this.#hasSent ? toMayHaveRun(err) : err;
    }
    const message = err instanceof Error ? err.message : String(err);
    if (isPeerError(err)) {
      return this.newError("upstream_failed", message, 502, err);
    }
    this.#logger.error("request failed with an internal error", {
      ...{ requestId: this.trace.requestId, step: this.#step, peer: this.#peer },
      hasSent: this.#hasSent,
      err: err instanceof Error ? (err.stack ?? message) : message,
    });
    return this.newError("internal_error", message, 500, err);
  }
}

/** Changes the verdict to "may have run": an earlier attempt was sent, whatever this error says. */
const toMayHaveRun = (err: PulleyError): PulleyError =>
  err.verdict === Verdict.MayHaveRun
    ? err
    : new PulleyError(err.message, {
        code: err.code,
        step: err.step,
        peer: err.peer,
        status: err.status,
        verdict: Verdict.MayHaveRun,
        cause: err,
      });

/** Fate that follows from the verdict of a failure. */
export const getFateState = (verdict: Verdict): FateState =>
  verdict === Verdict.MayHaveRun ? FateState.FailedMayHaveRun : FateState.NotRun;
