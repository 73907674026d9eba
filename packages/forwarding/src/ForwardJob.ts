import type { ProcessLifecycle } from "@lycheepulley/core";

import { canGoOn, newAnswerProgress, type AnswerProgress } from "./answerProgress.js";
import { AnswerTimeline } from "./AnswerTimeline.js";
import { SendEvidence } from "./crashes/SendEvidence.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import {
  canReplaceStalled,
  decideNext,
  NextStep,
  SendResult,
  type SendOutcome,
} from "./outcomes.js";
import { PlacementFailure, type Placement, type Placer } from "./Placer.js";
import { getDeadlineAtMs, pickPool } from "./sendParameters.js";
import { SendFeedback } from "./SendFeedback.js";
import { getRetryAfterMs, NO_UPSTREAM_RETRY_AFTER_MS } from "./retryAfter.js";
import { LeaveWatch } from "./LeaveWatch.js";
import { getFailedResult, type FailedPlan, type JobEvent, type LiveSend } from "./liveSend.js";
import { SendCounts } from "./SendCounts.js";
import type { SendPlanner } from "./SendPlanner.js";
import { SendRunner, type SendObserver } from "./SendRunner.js";
import { EventQueue } from "./EventQueue.js";
import { FinalAnswer } from "./FinalAnswer.js";
import { RequestLog } from "./RequestLog.js";
import type { Stall } from "./StallWatch.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

/** Forwards one request, from its admission to its final answer. */
export class ForwardJob {
  readonly #deps: ForwardDependencies;
  readonly #placer: Placer;
  readonly #planner: SendPlanner;
  readonly #req: ForwardRequest;
  readonly #pool: string;
  readonly #deadlineAtMs: number;
  readonly #feedback: SendFeedback;
  readonly #timeline: AnswerTimeline;
  readonly #log: RequestLog;
  readonly #progress: AnswerProgress;
  readonly #final: FinalAnswer;
  readonly #runner: SendRunner;
  readonly #live = new Set<LiveSend>();
  readonly #events = new EventQueue<JobEvent>();
  /** The send that the request's load item describes. */
  #loaded: LiveSend | undefined;
  readonly #counts = new SendCounts();
  readonly #leaveWatch: LeaveWatch;

  constructor(options: {
    deps: ForwardDependencies;
    placer: Placer;
    planner: SendPlanner;
    req: ForwardRequest;
    writer: AnswerWriter;
    lifecycle: ProcessLifecycle;
  }) {
    this.#deps = options.deps;
    this.#placer = options.placer;
    this.#planner = options.planner;
    this.#req = options.req;
    this.#pool = pickPool(options.req.route, options.deps.random);
    this.#deadlineAtMs = getDeadlineAtMs(options.req);
    this.#log = new RequestLog(options.deps.logger, options.req);
    this.#timeline = new AnswerTimeline(options.req.receivedMs, options.req.route);
    const { deps, req, writer } = options;
    this.#feedback = new SendFeedback({ deps, req, log: this.#log });
    const progress = (this.#progress = newAnswerProgress(req));
    this.#runner = new SendRunner({
      ...{ deps, req, writer, progress, deadlineAtMs: this.#deadlineAtMs },
    });
    this.#final = new FinalAnswer({
      ...{ deps, req, writer, log: this.#log, progress },
      ...{ timeline: this.#timeline, getSends: () => this.#counts.sends },
    });
    this.#leaveWatch = new LeaveWatch({
      ...{ clock: deps.clock, lifecycle: options.lifecycle, req, live: this.#live },
      engine: deps.view.table?.findPool(this.#pool)?.engine,
      isAnswering: () => progress.isHeadSent,
    });
  }

  async run(): Promise<void> {
    const { signal } = this.#req;
    this.#deps.retryBudget.addRequest(this.#pool);
    const onAbort = (): void => {
      this.#stopSends(SendResult.Cancelled);
    };
    signal.addEventListener("abort", onAbort);
    this.#leaveWatch.start();
    try {
      do {
        await this.#startSend();
      } while ((await this.#awaitNextStep()) === NextStep.Retry);
    } catch (err) {
      this.#endOnError(err);
    } finally {
      signal.removeEventListener("abort", onAbort);
      this.#leaveWatch.stop();
      this.#stopSends(SendResult.Cancelled);
    }
  }

  /** Searches an upstream and sends the request there. */
  async #startSend(): Promise<void> {
    const abort = new AbortController();
    const live: LiveSend = { abort, placement: undefined, evidence: undefined };
    if (this.#req.signal.aborted) {
      abort.abort(SendResult.Cancelled);
    }
    this.#live.add(live);
    this.#leaveWatch.limitSearch(live);
    this.#loaded = undefined;
    const { deadlineAtMs } = this.#runner;
    const planned = await this.#planner.plan({
      ...{ req: this.#req, pool: this.#pool, homes: this.#req.homes, deadlineAtMs },
      ...{ excluded: this.#feedback.excluded, timeline: this.#timeline, signal: abort.signal },
    });
    if (planned.kind !== "planned") {
      this.#live.delete(live);
      this.#events.push(planned);
      return;
    }
    const { placement } = planned;
    live.placement = placement;
    this.#counts.start();
    this.#loaded = live;
    const observer = this.#newObserver(live, placement);
    const outcome = this.#runner.run(placement, abort.signal, observer).catch((err: unknown) => {
      this.#log.logError(err);
      return { result: SendResult.Internal, reason: "internal error" };
    });
    void outcome.then((ended) => {
      live.evidence?.onEnd(ended);
      planned.end();
      this.#events.push({ kind: "ended", live, outcome: ended });
    });
  }

  /** Handles events until another send has to follow or the request has its final answer. */
  async #awaitNextStep(): Promise<NextStep> {
    for (;;) {
      const step = this.#handleEvent(await this.#events.next());
      if (step !== NextStep.Wait) {
        return step;
      }
    }
  }

  #handleEvent(event: JobEvent): NextStep {
    switch (event.kind) {
      case "stalled":
        return NextStep.Retry;
      case "unplaced":
      case "held":
        if (this.#live.size > 0) {
          this.#restoreLoad();
          return NextStep.Wait;
        }
        this.#endWithoutPlacement(event);
        return NextStep.Done;
      case "ended":
        return this.#handleOutcome(event.live, event.outcome);
    }
  }

  #endOnError(err: unknown): void {
    this.#log.logError(err);
    const reason = "internal error";
    if (this.#counts.sends > 0) {
      this.#final.fail({ result: SendResult.Internal, reason });
    } else {
      this.#final.reject(reason, NO_UPSTREAM_RETRY_AFTER_MS);
    }
  }

  #stopSends(result: SendResult, except?: LiveSend): void {
    for (const live of this.#live) {
      if (live !== except) {
        live.abort.abort(result);
      }
    }
  }

  #newObserver(live: LiveSend, placement: Placement): SendObserver {
    let sentMs = Infinity;
    const { upstream } = placement;
    return {
      canReplace: () => this.#canReplace(placement),
      // A live upstream that prefills other prompts is silent meanwhile, and would be elsewhere too.
      isExpected: () => this.#placer.isPrefilling(upstream.id),
      replace: (stall) => {
        live.evidence?.onStall(stall);
        return this.#replaceStalled(placement, stall);
      },
      onOpen: () => {
        const { clock, view, limits, guard, watch } = this.#deps;
        const { listedMs } = view;
        sentMs = clock.now();
        const limit = limits.get(upstream.id);
        const sends = this.#counts.sends - 1;
        this.#log.logSend(placement, { sends, nowMs: sentMs, listedMs, limit });
        live.evidence = new SendEvidence(guard.evidence, this.#req, upstream, watch);
      },
      onProgress: () => {
        this.#onProgress(live);
      },
      onHead: (facts) => {
        this.#feedback.recordHead(upstream, sentMs, facts);
      },
      onInvalid: (invalid) => {
        this.#log.logInvalid(upstream.id, invalid, this.#counts.sends);
        this.#deps.onInvalid?.(invalid);
      },
      onEvents: () => {
        live.evidence?.onEvents();
        this.#onEvents(placement);
      },
    };
  }

  /** Ends the other sends, since only one may write to the caller. */
  #onProgress(live: LiveSend): void {
    if (this.#live.size > 1) {
      this.#stopSends(SendResult.Superseded, live);
      this.#recordLoad(live);
    }
  }

  /** Counts the request as load of the upstream that goes on with it. */
  #recordLoad(live: LiveSend): void {
    if (live.placement && this.#loaded !== live) {
      this.#loaded = live;
      this.#placer.recordLoad({ req: this.#req, pool: this.#pool }, live.placement);
    }
  }

  #restoreLoad(): void {
    const [live] = this.#live;
    if (live) {
      this.#recordLoad(live);
    }
  }

  #canReplace({ upstream }: Placement): boolean {
    const excluded = new Set([...this.#feedback.excluded, upstream.id]);
    const history = { sends: this.#counts.sends, timeLeftMs: this.#getTimeLeftMs() };
    return (
      this.#live.size === 1 &&
      canGoOn(this.#progress, this.#req.route) &&
      canReplaceStalled(this.#req.route, history) &&
      this.#placer.hasAlternative({ pool: this.#pool, homes: this.#req.homes, excluded })
    );
  }

  #replaceStalled(placement: Placement, { isAlive, isExpected, reason }: Stall): boolean {
    const { retryBudget } = this.#deps;
    const { id } = placement.upstream;
    const isReplaced =
      !isExpected && this.#canReplace(placement) && retryBudget.trySpend(this.#pool);
    const next = isReplaced ? NextStep.Retry : NextStep.Wait;
    this.#log.logStall(id, { reason, isAlive, isExpected, next, sends: this.#counts.sends });
    if (!isReplaced) {
      return false;
    }
    this.#feedback.recordStall(id, { isAlive, reason });
    this.#events.push({ kind: "stalled" });
    return true;
  }

  #getTimeLeftMs(): number {
    return this.#deadlineAtMs - this.#deps.clock.now();
  }

  /** Records the outcome of a send and takes the next step. */
  #handleOutcome(live: LiveSend, outcome: SendOutcome): NextStep {
    const { clock, retryBudget } = this.#deps;
    const upstream = live.placement?.upstream;
    this.#live.delete(live);
    this.#counts.end(live, outcome);
    this.#final.recordOutcome(outcome);
    if (upstream) {
      this.#feedback.recordOutcome(upstream, outcome);
    }
    const next = decideNext(this.#req.route, outcome, {
      ...{ sends: this.#counts.sends, unsent: this.#counts.unsent, inFlight: this.#live.size },
      ...{ mayHaveRun: this.#counts.mayHaveRun, timeLeftMs: this.#getTimeLeftMs() },
      canGoOn: canGoOn(this.#progress, this.#req.route),
      trySpend: () => retryBudget.trySpend(this.#pool),
    });
    this.#log.logSendEnd(upstream?.id ?? "", outcome, {
      ...{ next, sends: this.#counts.sends, nowMs: clock.now() },
    });
    this.#performStep(next, outcome);
    return next;
  }

  #performStep(next: NextStep, outcome: SendOutcome): void {
    switch (next) {
      case NextStep.Retry:
        return;
      case NextStep.Wait:
        this.#restoreLoad();
        return;
      case NextStep.Done:
        this.#final.finish(outcome);
        return;
      case NextStep.Deliver:
        this.#final.deliver(outcome);
        return;
      case NextStep.Reject:
        this.#final.reject(outcome.reason, this.#placer.getReturnMs(this.#pool, outcome.result));
        return;
      case NextStep.Fail:
        this.#final.fail(outcome);
    }
  }

  #endWithoutPlacement(failed: FailedPlan): void {
    const { reason } = failed;
    if (reason === PlacementFailure.Cancelled) {
      this.#final.finish({ result: SendResult.Cancelled, reason });
    } else if (this.#counts.mayHaveRun) {
      this.#final.fail({ result: getFailedResult(failed), reason });
    } else {
      const { random } = this.#deps;
      const query = { req: this.#req, pool: this.#pool };
      const retryMs =
        failed.kind === "held"
          ? getRetryAfterMs(failed.retryMs, random)
          : this.#placer.getRetryMs(query, failed.reason);
      this.#final.reject(reason, retryMs);
    }
  }

  #onEvents(placement: Placement): void {
    const { loadTracker, clock } = this.#deps;
    const { attemptId } = this.#req.head;
    const isFirst = this.#timeline.firstMs === undefined;
    const now = clock.now();
    this.#timeline.record(now);
    loadTracker.startWriting(attemptId);
    if (this.#timeline.getTargetLeftMs(now) <= 0) {
      loadTracker.markLate(attemptId);
    }
    if (isFirst) {
      this.#log.logFirstEvent(placement, this.#timeline);
    }
  }
}
