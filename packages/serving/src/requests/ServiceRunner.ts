import {
  FateState,
  getBackoffMs,
  isPeerError,
  nextInt,
  PulleyError,
  sha256,
  sleep,
  Step,
  Verdict,
  type Clock,
  type Protections,
  type Random,
  type RetryBudget,
  type ServiceConfig,
  type ServiceOutcome,
  type ServiceRequest,
} from "@lycheepulley/core";
import type { ServiceAnswer } from "@lycheepulley/services";
import type { Logger } from "@lycheepulley/telemetry";

import type { ConfigTracker } from "../config/ConfigTracker.js";
import type { RequestTrace } from "../fates/FateRecorder.js";
import type { ServiceInstance, UpstreamDirectory } from "../upstreams/UpstreamDirectory.js";
import type { AtMostOnce } from "./AtMostOnce.js";
import { newKeyMissingError } from "./PromptRunner.js";
import { getFateState, RequestContext } from "./RequestContext.js";

const IDEMPOTENT_METHODS: readonly string[] = ["GET", "HEAD", "PUT", "DELETE"];
const DEFAULT_PATIENCE_MS = 10_000;
const HTTP_NOT_FOUND = 404;

/** Routes calls to plain services; a call that isn't safe to repeat runs at most once. */
export class ServiceRunner {
  readonly #config: ConfigTracker;
  readonly #directory: UpstreamDirectory;
  readonly #once: AtMostOnce;
  readonly #retries: RetryBudget;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #protections: Protections;
  readonly #logger: Logger;

  constructor(options: {
    config: ConfigTracker;
    directory: UpstreamDirectory;
    once: AtMostOnce;
    retries: RetryBudget;
    clock: Clock;
    random: Random;
    protections: Protections;
    logger: Logger;
  }) {
    this.#logger = options.logger;
    this.#config = options.config;
    this.#directory = options.directory;
    this.#once = options.once;
    this.#retries = options.retries;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#protections = options.protections;
  }

  /** Runs a call and records its fate; throws a {@link PulleyError} unless it was answered. */
  async run(trace: RequestTrace, req: ServiceRequest): Promise<ServiceOutcome> {
    const service = this.#config.current?.config.services[req.service];
    const patienceMs = service?.timeoutMs ?? DEFAULT_PATIENCE_MS;
    const ctx = new RequestContext({ trace, clock: this.#clock, patienceMs, logger: this.#logger });
    trace.setClass(`service:${req.service}`, 0);
    ctx.enter(Step.Classify);
    try {
      if (!service) {
        throw ctx.newError("unknown_service", `no service "${req.service}"`, HTTP_NOT_FOUND);
      }
      const outcome = isNonIdempotent(service, req)
        ? await this.#runOnce(ctx, service, req)
        : await this.#runAttempts(ctx, service, req);
      trace.end(FateState.Finished);
      return outcome;
    } catch (err) {
      const failure = ctx.toError(err);
      trace.end(
        getFateState(failure.verdict),
        `${failure.step} at ${failure.peer}: ${failure.message}`,
      );
      throw failure;
    }
  }

  async #runOnce(
    ctx: RequestContext,
    service: ServiceConfig,
    req: ServiceRequest,
  ): Promise<ServiceOutcome> {
    if (req.idempotencyKey === undefined) {
      throw newKeyMissingError();
    }
    const key = `${req.customer}/${req.service}/${req.idempotencyKey}`;
    const bodySha256 = sha256(`${req.method} ${req.path}\n${req.body?.toString("base64") ?? ""}`);
    const outcome = await this.#once.run(ctx, { key, bodySha256 }, async () => {
      const answer = await this.#call(ctx, service, req, []);
      if (service.notRunStatuses.includes(answer.status)) {
        throw newNotRunError(req.service, answer.status);
      }
      return { status: answer.status, body: answer.body, contentType: answer.contentType };
    });
    return { contentType: "application/json", ...outcome };
  }

  async #runAttempts(
    ctx: RequestContext,
    service: ServiceConfig,
    req: ServiceRequest,
  ): Promise<ServiceOutcome> {
    const limits = this.#config.current?.config.limits;
    const tried: string[] = [];
    this.#retries.earn(limits?.retryShare ?? 0);
    for (let attempt = 1; ; attempt += 1) {
      try {
        const answer = await this.#call(ctx, service, req, tried);
        return { ...answer, isReplay: false };
      } catch (err) {
        const isLast = attempt >= (limits?.maxAttempts ?? 1);
        const isRetryable = isPeerError(err) && (!err.sent || isIdempotentMethod(req.method));
        if (!isRetryable || isLast || req.signal.aborted || !this.#retries.trySpend()) {
          throw err;
        }
        ctx.trace.mark("retry", err.peer);
        await sleep(this.#clock, getBackoffMs(attempt, this.#random), req.signal);
        ctx.checkDeadline();
      }
    }
  }

  async #call(
    ctx: RequestContext,
    service: ServiceConfig,
    req: ServiceRequest,
    tried: string[],
  ): Promise<ServiceAnswer> {
    const instance = this.#choose(service, tried);
    if (!instance) {
      throw ctx.newError("no_instance", `service "${req.service}" has no live instance`);
    }
    const { client } = instance;
    tried.push(client.name);
    ctx.enter(Step.Connect, client.name);
    ctx.checkDeadline(this.#protections.deadlineCheck);
    try {
      const answer = await client.call({
        method: req.method,
        path: req.path,
        body: req.body,
        timeoutMs: Math.max(1, ctx.remainingMs),
        signal: req.signal,
        headers: {
          "content-type": req.contentType,
          "x-request-id": ctx.trace.requestId,
          ...(req.idempotencyKey === undefined ? {} : { "idempotency-key": req.idempotencyKey }),
        },
        onSend: () => {
          ctx.enter(Step.Send, client.name);
        },
      });
      if (!service.notRunStatuses.includes(answer.status)) {
        ctx.noteSent();
      }
      return answer;
    } catch (err) {
      const status = isPeerError(err) ? err.status : undefined;
      if (status !== undefined && service.notRunStatuses.includes(status)) {
        // The status says so, whatever is missing of its answer.
        throw newNotRunError(req.service, status);
      }
      if (!isPeerError(err) || err.sent) {
        ctx.noteSent();
      }
      throw err;
    }
  }

  #choose(service: ServiceConfig, tried: readonly string[]): ServiceInstance | undefined {
    const instances = this.#directory.getServices(service.pool);
    const untried = instances.filter(({ client }) => !tried.includes(client.name));
    const candidates = untried.length > 0 ? untried : instances;
    return candidates[nextInt(this.#random, candidates.length)];
  }
}

const isIdempotentMethod = (method: string): boolean => IDEMPOTENT_METHODS.includes(method);

/**
 * Tells whether a call runs at most once: its route is configured so, or its method isn't
 * idempotent and it has a key.
 */
const isNonIdempotent = (service: ServiceConfig, req: ServiceRequest): boolean => {
  const isListed = service.nonIdempotent.some(
    ({ method, pathPrefix }) => method === req.method && req.path.startsWith(pathPrefix),
  );
  return isListed || (!isIdempotentMethod(req.method) && req.idempotencyKey !== undefined);
};

const newNotRunError = (service: string, status: number): PulleyError =>
  new PulleyError(`service "${service}" answered ${String(status)}: not run`, {
    code: "refused_by_service",
    step: Step.Send,
    peer: service,
    verdict: Verdict.NotRun,
    status,
  });
