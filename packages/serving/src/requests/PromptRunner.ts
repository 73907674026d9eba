import {
  AnswerAssembler,
  classifyRequest,
  FateState,
  getBackoffMs,
  isPeerError,
  PulleyError,
  sha256,
  sleep,
  Step,
  Verdict,
  type AnswerSink,
  type Clock,
  type PromptOutcome,
  type PromptRequest,
  type Protections,
  type Random,
  type RetryBudget,
} from "@lycheepulley/core";

import type { Logger } from "@lycheepulley/telemetry";

import type { ConfigTracker } from "../config/ConfigTracker.js";
import type { RequestTrace } from "../fates/FateRecorder.js";
import type { PoolRouter } from "../scheduler/PoolRouter.js";
import { GrantEnd, type AcquireRequest } from "../scheduler/types.js";
import type { UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import type { AtMostOnce } from "./AtMostOnce.js";
import { RESERVATION_LOST_CODE } from "./EngineGroup.js";
import { GRANT_VOID_CODE, runAttempt } from "./promptAttempt.js";
import type { PromptJob } from "./PromptJob.js";
import { isRejection } from "./reach.js";
import { getFateState, RequestContext } from "./RequestContext.js";

const MS_PER_S = 1_000;
/**
 * Largest share of an engine's KV memory for one part of a split prompt; other requests keep the
 * rest.
 */
const GROUP_MEMORY_SHARE = 0.9;
/** Pause before another grant is asked for: its owner may learn of an evacuation later than this process. */
const VOID_PAUSE_MS = 50;
const MAX_VOID_PAUSE_MS = 1_000;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_READY = 503;

export interface PromptRunnerOptions {
  readonly config: ConfigTracker;
  readonly directory: UpstreamDirectory;
  readonly pools: PoolRouter;
  /** Process name and incarnation. */
  readonly holder: string;
  readonly once: AtMostOnce;
  readonly retries: RetryBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly protections: Protections;
  readonly logger: Logger;
  readonly metrics?: PromptMetrics;
}

/** Events that the runner reports for metrics. */
export interface PromptMetrics {
  onFirstToken(className: string, promptTokens: number, ms: number): void;
  onEnd(className: string, state: FateState, ms: number): void;
  onRetry(): void;
}

/**
 * Runs prompts: classifies, queues and sends them to engines, and retries within the class's
 * patience.
 */
export class PromptRunner {
  readonly #options: PromptRunnerOptions;

  constructor(options: PromptRunnerOptions) {
    this.#options = options;
  }

  /** Runs a request and records its fate; throws a {@link PulleyError} unless it finished. */
  async run(trace: RequestTrace, req: PromptRequest, sink: AnswerSink): Promise<PromptOutcome> {
    let ctx: RequestContext | undefined;
    try {
      const job = this.#newJob(trace, req, sink);
      ctx = job.ctx;
      const outcome = job.classified.cls.nonIdempotent
        ? await this.#runOnce(job)
        : await this.#runAttempts(job);
      trace.end(FateState.Finished);
      return outcome;
    } catch (err) {
      const failure = ctx ? ctx.toError(err) : toClassifyError(err);
      const reason = `${failure.step} at ${failure.peer}: ${failure.message}`;
      trace.end(getFateState(failure.verdict), reason);
      throw failure;
    } finally {
      this.#options.metrics?.onEnd(trace.fate.className, trace.fate.state, trace.ageMs);
    }
  }

  #newJob(trace: RequestTrace, req: PromptRequest, sink: AnswerSink): PromptJob {
    const inForce = this.#options.config.current;
    if (!inForce) {
      throw new PulleyError("no configuration is in force yet", {
        code: "not_ready",
        step: Step.Accept,
        verdict: Verdict.RefusedUntil,
        status: HTTP_NOT_READY,
        retryAfterMs: MS_PER_S,
      });
    }
    const classified = classifyRequest(inForce.config, req);
    trace.setClass(classified.className, classified.promptTokens);
    const { patienceMs } = classified.cls;
    const { clock, logger } = this.#options;
    const ctx = new RequestContext({ trace, clock, patienceMs, logger });
    ctx.enter(Step.Classify);
    const answerTexts: string[] = [];
    const { attemptId: checkAttempt } = this.#options.protections;
    return {
      req,
      ctx,
      cfg: inForce.config,
      classified,
      assembler: new AnswerAssembler({ checkAttempt }),
      answerTexts,
      excludedEngines: [],
      onChunk: (chunk) => {
        if (answerTexts.length === 0) {
          ctx.enter(Step.FirstToken);
          const { className, promptTokens } = classified;
          this.#options.metrics?.onFirstToken(className, promptTokens, trace.ageMs);
        }
        answerTexts.push(chunk.text);
        sink.onChunk(chunk);
      },
    };
  }

  /** Runs a non-idempotent prompt under its idempotency key: a single attempt, without retries. */
  async #runOnce(job: PromptJob): Promise<PromptOutcome> {
    const { req, ctx } = job;
    if (req.idempotencyKey === undefined) {
      throw newKeyMissingError();
    }
    const key = `${req.customer}/${req.idempotencyKey}`;
    const once = await this.#options.once.run(
      ctx,
      { key, bodySha256: sha256(req.body) },
      async () => {
        await this.#runAttempt(job, 1);
        return { status: 200, body: job.answerTexts.join("") };
      },
    );
    return { ...this.#newOutcome(job), replayed: once.isReplay ? once.body : undefined };
  }

  /** Runs attempts until one finishes the answer, within the retry budget and the attempt limit. */
  async #runAttempts(job: PromptJob): Promise<PromptOutcome> {
    const { ctx, cfg } = job;
    const { retries, random, clock, metrics } = this.#options;
    retries.earn(cfg.limits.retryShare);
    for (let attempt = 1; ; attempt += 1) {
      try {
        await this.#runAttempt(job, attempt);
        return this.#newOutcome(job);
      } catch (err) {
        const isLast = attempt >= cfg.limits.maxAttempts;
        if (job.req.signal.aborted || isLast || !isRetryable(err) || !retries.trySpend()) {
          throw err;
        }
        metrics?.onRetry();
        ctx.trace.mark("retry", err.peer);
        await sleep(clock, getBackoffMs(attempt, random), job.req.signal);
        ctx.checkDeadline();
      }
    }
  }

  /** Runs one attempt; a grant that is void before anything is sent doesn't count as one. */
  async #runAttempt(job: PromptJob, attempt: number): Promise<void> {
    const { ctx, req } = job;
    for (let pauseMs = VOID_PAUSE_MS; ; pauseMs = Math.min(MAX_VOID_PAUSE_MS, 2 * pauseMs)) {
      try {
        await this.#runGranted(job, attempt);
        return;
      } catch (err) {
        if (req.signal.aborted || !isVoid(err)) {
          throw err;
        }
        ctx.trace.mark("void");
        await sleep(this.#options.clock, pauseMs, req.signal);
        ctx.checkDeadline();
      }
    }
  }

  async #runGranted(job: PromptJob, attempt: number): Promise<void> {
    const { ctx, req } = job;
    ctx.enter(Step.Admit);
    ctx.enter(Step.Queue);
    const request = this.#newAcquireRequest(job, attempt);
    const grant = await this.#options.pools.acquire(request, req.signal);
    let end: GrantEnd = GrantEnd.Unused;
    try {
      ctx.enter(Step.Reserve, grant.engine);
      await runAttempt({ ...this.#options, job, grant, attempt });
      end = GrantEnd.Done;
    } catch (err) {
      end = getGrantEnd(err, req.signal);
      job.excludedEngines.push(grant.engine);
      throw err;
    } finally {
      await grant.release(end);
    }
  }

  #newAcquireRequest(job: PromptJob, attempt: number): AcquireRequest {
    const { req, ctx, cfg, classified } = job;
    const { model, cls, className, modelName, promptTokens } = classified;
    return {
      id: `${ctx.trace.requestId}-a${String(attempt)}`,
      pool: model.pool,
      model: modelName,
      className,
      priority: cls.priority,
      customer: req.customer,
      weight: cfg.customers[req.customer]?.weight ?? 1,
      promptTokens,
      outputTokens: req.maxTokens,
      fingerprint: req.fingerprint,
      prefixBlocks: [...req.prefixBlocks],
      remainingMs: Math.max(0, ctx.remainingMs),
      waitedMs: ctx.trace.ageMs,
      excluded: job.excludedEngines,
      prefillTokensPerS: model.prefillTokensPerS,
      engineKvTokens: model.engineKvTokens,
      maxStreams: model.maxStreamsPerEngine,
      parts: getPartCount(promptTokens + req.maxTokens, model.engineKvTokens),
    };
  }

  #newOutcome({ assembler, classified }: PromptJob): PromptOutcome {
    return {
      finishReason: assembler.finishReason ?? "stop",
      promptTokens: classified.promptTokens,
      outputTokens: assembler.nextSeq,
      replayed: undefined,
    };
  }
}

/** Number of engines that a prompt is split across; 1 when it fits on one engine. */
const getPartCount = (tokens: number, engineKvTokens: number): number =>
  tokens <= engineKvTokens ? 1 : Math.ceil(tokens / (engineKvTokens * GROUP_MEMORY_SHARE));

/**
 * Tells whether another engine may succeed: after a connection error, a 5xx status or a rejection.
 */
const isRetryable = (err: unknown): err is Error & { peer: string } =>
  isPeerError(err) && (err.status === undefined || err.status >= 500 || isRejection(err));

const isVoid = (err: unknown): boolean => isPeerError(err) && err.options.code === GRANT_VOID_CODE;

const getGrantEnd = (err: unknown, signal: AbortSignal): GrantEnd => {
  // A lapsed reservation doesn't show that the engine died of this prompt.
  const isLapse = isPeerError(err) && err.options.code === RESERVATION_LOST_CODE;
  if (signal.aborted || !isPeerError(err) || isLapse || isVoid(err)) {
    return GrantEnd.Unused;
  }
  if (isRejection(err)) {
    return GrantEnd.Refused;
  }
  return err.status === undefined ? GrantEnd.Broken : GrantEnd.Unused;
};

const toClassifyError = (err: unknown): PulleyError =>
  err instanceof PulleyError
    ? err
    : new PulleyError(err instanceof Error ? err.message : String(err), {
        code: "internal_error",
        step: Step.Classify,
        verdict: Verdict.NotRun,
        status: 500,
        cause: err,
      });

export const newKeyMissingError = (): PulleyError =>
  new PulleyError("a non-idempotent request needs an Idempotency-Key header", {
    code: "key_missing",
    step: Step.Classify,
    verdict: Verdict.NotRun,
    status: HTTP_BAD_REQUEST,
    param: "idempotency-key",
  });
