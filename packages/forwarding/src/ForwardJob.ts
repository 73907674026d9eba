import { sleep } from "@lycheepulley/core";

import type { Upstream } from "./fleetConfig.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { decideNext, NextStep, SendResult, type SendOutcome } from "./outcomes.js";
import { PlacementFailure, type Placement, type Placer } from "./Placer.js";
import { Send, type AnswerProgress } from "./Send.js";
import { getDeadlineAtMs, getStallTimeouts, getUrgency, orderHelpers } from "./sendParameters.js";
import { raceDeadline, NOT_SETTLED } from "./raceDeadline.js";
import type { Reservations } from "./ReservationManager.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";
import { UpstreamResult } from "./UpstreamHealth.js";

const CONNECT_TIMEOUT_MS = 400;
/** Time before the deadline at which this process answers itself. */
const MARGIN_MS = 20;
const NO_UPSTREAM_RETRY_AFTER_MS = 500;
const REJECTED_RETRY_AFTER_MS = 250;
/** Pause after KV memory that a plan counted on was taken by another request. */
const NO_MEMORY_PAUSE_MS = 60;
/** Results that say nothing about the health of the upstream. */
const NEUTRAL_RESULTS: ReadonlySet<SendResult> = new Set([
  SendResult.Cancelled,
  SendResult.TimedOut,
  SendResult.NoMemory,
]);

/** Forwards one request, from its admission to its final answer. */
export class ForwardJob {
  readonly #deps: ForwardDependencies;
  readonly #placer: Placer;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #pool: string;
  readonly #deadlineAtMs: number;
  readonly #excluded = new Set<string>();
  readonly #progress: AnswerProgress;
  #sends = 0;
  #unsentSends = 0;
  #mayHaveRun = false;
  #firstMs: number | undefined;

  constructor(options: {
    deps: ForwardDependencies;
    placer: Placer;
    req: ForwardRequest;
    writer: AnswerWriter;
  }) {
    this.#deps = options.deps;
    this.#placer = options.placer;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#pool = this.#pickPool();
    this.#deadlineAtMs = getDeadlineAtMs(options.req);
    this.#progress = {
      lastEventId: options.req.head.lastEventId,
      isHeadSent: false,
      isFramed: false,
    };
  }

  async run(): Promise<void> {
    const { fingerprint } = this.#req;
    if (this.#deps.crashes.isBlocked(fingerprint)) {
      this.#reject("blocked: it crashed its upstreams", NO_UPSTREAM_RETRY_AFTER_MS);
      return;
    }
    this.#deps.retryBudget.addRequest(this.#pool);
    for (;;) {
      const placement = await this.#placer.find({
        req: this.#req,
        pool: this.#pool,
        excluded: this.#excluded,
        deadlineAtMs: this.#deadlineAtMs,
      });
      if (typeof placement === "string") {
        this.#endWithoutPlacement(placement);
        return;
      }
      const outcome = await this.#sendTo(placement);
      if (this.#handleOutcome(placement, outcome) !== NextStep.Retry) {
        return;
      }
    }
  }

  async #sendTo(placement: Placement): Promise<SendOutcome> {
    const reservations = await this.#reserveMemory(placement);
    if (reservations === "missing") {
      await sleep(this.#deps.clock, NO_MEMORY_PAUSE_MS, this.#req.signal);
      return { result: SendResult.NoMemory, reason: "memory not held" };
    }
    try {
      return await this.#send(placement, reservations);
    } finally {
      reservations?.release();
    }
  }

  async #reserveMemory({ plan }: Placement): Promise<Reservations | "missing" | undefined> {
    const requests = (plan?.helpers ?? [])
      .map((upstream, index) => ({ upstream, tokens: plan?.heldTokens[index] ?? 0 }))
      .filter(({ tokens }) => tokens > 0);
    if (requests.length === 0) {
      return undefined;
    }
    const id = `${this.#req.head.attemptId}-${String(this.#sends + this.#unsentSends)}`;
    const work = this.#deps.reservations.reserveAll(id, requests);
    const { clock } = this.#deps;
    const held = await raceDeadline(work, clock, this.#deadlineAtMs - MARGIN_MS, this.#req.signal);
    if (held === NOT_SETTLED) {
      void work.then((reservations) => reservations?.release());
      return "missing";
    }
    return held ?? "missing";
  }

  async #send(placement: Placement, reservations: Reservations | undefined): Promise<SendOutcome> {
    const { clock, transport, dialect } = this.#deps;
    const req = this.#req;
    const now = clock.now();
    if (req.signal.aborted) {
      return { result: SendResult.Cancelled, reason: "caller left" };
    }
    const send = new Send({
      ...{ clock, dialect, req, writer: this.#writer, progress: this.#progress },
      timeouts: getStallTimeouts(req.route, placement, this.#sends + 1 >= req.route.maxAttempts),
      onFirstEvent: () => {
        this.#onFirstEvent(placement);
      },
      isAlive: () => this.#deps.control.isAlive(placement.upstream),
    });
    const headers = dialect.newUpstreamHeaders(req, {
      deadlineMs: Math.max(1, Math.floor(this.#deadlineAtMs - now)),
      upstreamId: placement.upstream.id,
      customer: req.customer,
      lastEventId: this.#progress.lastEventId,
      urgency: placement.request ? getUrgency(placement.request.maxGapMs) : undefined,
      helpers: orderHelpers(placement, reservations),
    });
    this.#logSend(placement, now);
    const call = transport.open(
      {
        ...{ host: placement.upstream.host, port: placement.upstream.port },
        ...{ method: req.head.method, path: req.head.path, headers, body: req.body },
        connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, this.#deadlineAtMs - now),
      },
      send,
    );
    send.start(call);
    return this.#awaitOutcome(send);
  }

  async #awaitOutcome(send: Send): Promise<SendOutcome> {
    const { clock } = this.#deps;
    const { signal } = this.#req;
    const onAbort = (): void => {
      send.stop(SendResult.Cancelled, "caller left");
    };
    signal.addEventListener("abort", onAbort);
    const cancelTimeout = clock.setTimer(
      () => {
        send.stop(SendResult.TimedOut, "time over");
      },
      Math.max(0, this.#deadlineAtMs - MARGIN_MS - clock.now()),
    );
    try {
      return await send.outcome;
    } finally {
      cancelTimeout();
      signal.removeEventListener("abort", onAbort);
    }
  }

  /** Records the outcome of a send and takes the next step. */
  #handleOutcome(placement: Placement, outcome: SendOutcome): NextStep {
    const { clock, retryBudget, logger } = this.#deps;
    this.#countSend(outcome);
    this.#updateHealth(placement.upstream, outcome);
    const next = decideNext(this.#req.route, outcome, {
      sends: this.#sends,
      unsent: this.#unsentSends,
      mayHaveRun: this.#mayHaveRun,
      timeLeftMs: this.#deadlineAtMs - clock.now(),
      trySpend: () => retryBudget.trySpend(this.#pool),
    });
    logger.info("send ended", {
      ...{ requestId: this.#req.head.attemptId, step: "send", peer: placement.upstream.id },
      ...{ result: outcome.result, reason: outcome.reason, next, sends: this.#sends },
      ms: Math.round(clock.now() - this.#req.receivedMs),
    });
    this.#performStep(next, outcome);
    return next;
  }

  #performStep(next: NextStep, outcome: SendOutcome): void {
    switch (next) {
      case NextStep.Retry:
        return;
      case NextStep.Done:
        this.#end(outcome.result);
        return;
      case NextStep.Deliver:
        this.#deliver(outcome);
        return;
      case NextStep.Reject:
        this.#reject(outcome.reason, REJECTED_RETRY_AFTER_MS);
        return;
      case NextStep.Fail:
        this.#fail(outcome);
    }
  }

  #countSend({ result }: SendOutcome): void {
    if (result === SendResult.Unsent || result === SendResult.NoMemory) {
      this.#unsentSends += 1;
      return;
    }
    this.#sends += 1;
    this.#mayHaveRun ||= result !== SendResult.NotRun;
  }

  /** Updates the upstream's health, the request's crashes and the excluded upstreams after a send. */
  #updateHealth(upstream: Upstream, outcome: SendOutcome): void {
    const { health, view, crashes, logger } = this.#deps;
    const { result, reason, faultAddress } = outcome;
    const { fingerprint } = this.#req;
    if (result === SendResult.Delivered) {
      health.record(upstream.id, UpstreamResult.Good);
      crashes.clear(fingerprint);
      return;
    }
    if (NEUTRAL_RESULTS.has(result)) {
      return;
    }
    const faulty = faultAddress
      ? [...view.upstreams.values()].find(
          ({ host, port }) => `${host}:${String(port)}` === faultAddress,
        )
      : upstream;
    this.#excluded.add(upstream.id);
    if (!faulty) {
      return;
    }
    this.#excluded.add(faulty.id);
    const isLost = result === SendResult.Unsent || result === SendResult.Broken;
    const healthResult = isLost ? UpstreamResult.Unreachable : UpstreamResult.Failed;
    if (result === SendResult.Broken) {
      crashes.recordCrash(fingerprint, faulty.id);
    }
    if (health.record(faulty.id, healthResult)) {
      logger.info("upstream ejected", { step: "send", peer: faulty.id, reason });
    }
  }

  #endWithoutPlacement(reason: PlacementFailure): void {
    if (reason === PlacementFailure.Cancelled) {
      this.#end(SendResult.Cancelled);
    } else if (this.#mayHaveRun) {
      this.#fail({ result: SendResult.TimedOut, reason });
    } else {
      this.#reject(reason, NO_UPSTREAM_RETRY_AFTER_MS);
    }
  }

  #reject(reason: string, retryAfterMs: number): void {
    if (this.#progress.isHeadSent) {
      this.#writer.abort();
    } else {
      this.#writer.sendOwn(503, `not run: ${reason}`, retryAfterMs);
    }
    this.#end("refused", reason);
  }

  #fail({ result, reason, answer }: SendOutcome): void {
    if (this.#progress.isHeadSent) {
      this.#writer.abort();
    } else {
      const status = result === SendResult.TimedOut ? 504 : 502;
      this.#writer.sendOwn(status, `may have run: ${reason}`);
    }
    this.#end("failed", answer ? `${reason} (${String(answer.head.status)})` : reason);
  }

  #deliver({ answer }: SendOutcome): void {
    if (!answer || this.#progress.isHeadSent) {
      this.#writer.abort();
    } else {
      const headers = this.#deps.dialect.newAnswerHeaders(answer.head, { keepLength: true });
      this.#writer.sendHead(answer.head.status, headers, answer.isFramed);
      this.#writer.write(answer.body);
      this.#writer.end();
    }
    this.#end("upstream_failure");
  }

  #end(result: string, reason?: string): void {
    const { clock, logger, onEnd } = this.#deps;
    const totalMs = clock.now() - this.#req.receivedMs;
    const { route, head } = this.#req;
    logger.info("request ended", {
      ...{ requestId: head.attemptId, step: "reply", route: route.name, result, reason },
      ...{ sends: this.#sends, ms: Math.round(totalMs) },
    });
    const { name } = route;
    onEnd({ route: name, result, firstMs: this.#firstMs, totalMs, sends: this.#sends });
  }

  #onFirstEvent(placement: Placement): void {
    const { loadTracker, clock, logger } = this.#deps;
    this.#firstMs ??= clock.now() - this.#req.receivedMs;
    loadTracker.startWriting(this.#req.head.attemptId);
    logger.info("first event received", {
      ...{ requestId: this.#req.head.attemptId, step: "first_token", peer: placement.upstream.id },
      ms: Math.round(this.#firstMs),
      expectedMs: Math.round(placement.waitedMs + (placement.plan?.firstEventMs ?? 0)),
    });
  }

  #logSend(placed: Placement, now: number): void {
    const { view, logger } = this.#deps;
    const { head, route, revision, receivedMs, customer } = this.#req;
    logger.info("sent to upstream", {
      ...{ requestId: head.attemptId, step: "send", peer: placed.upstream.id, route: route.name },
      ...{ customer, tokens: head.promptTokens, revision, sends: this.#sends },
      helpers: placed.plan?.helpers.map(({ id }) => id) ?? [],
      held: placed.plan?.heldTokens.filter((tokens) => tokens > 0).length ?? 0,
      expectedMs: Math.round(placed.plan?.firstEventMs ?? 0),
      loss: Number((placed.plan?.loss ?? 0).toFixed(2)),
      listAgeMs: Math.round(now - view.listedMs),
      waitedMs: Math.round(now - receivedMs),
    });
  }

  #pickPool(): string {
    const { pools } = this.#req.route;
    const sum = pools.reduce((total, { weight }) => total + weight, 0);
    let left = this.#deps.random.next() * sum;
    for (const { pool, weight } of pools) {
      left -= weight;
      if (left < 0) {
        return pool;
      }
    }
    return pools[0]?.pool ?? "";
  }
}
