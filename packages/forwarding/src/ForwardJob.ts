import { sleep } from "@lycheepulley/core";

import { AnswerTimeline } from "./AnswerTimeline.js";
import type { Upstream } from "./fleetConfig.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { decideNext, NextStep, SendResult, type SendOutcome } from "./outcomes.js";
import { PlacementFailure, type Placement, type Placer } from "./Placer.js";
import { Send, type AnswerProgress } from "./Send.js";
import { getDeadlineAtMs, getStallTimeouts, getUrgency, orderHelpers } from "./sendParameters.js";
import { raceDeadline, NOT_SETTLED } from "./raceDeadline.js";
import { FinalAnswer } from "./FinalAnswer.js";
import { RequestLog } from "./RequestLog.js";
import type { Reservations } from "./ReservationManager.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";
import { UpstreamResult } from "./UpstreamHealth.js";

const CONNECT_TIMEOUT_MS = 400;
/** Time before the deadline at which this process answers itself. */
const MARGIN_MS = 20;
const NO_UPSTREAM_RETRY_AFTER_MS = 500;
const REJECTED_RETRY_AFTER_MS = 250;
/** Share of the time to return by which it varies. */
const RETURN_SPREAD = 0.5;
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
  readonly #timeline: AnswerTimeline;
  readonly #log: RequestLog;
  readonly #final: FinalAnswer;
  #sends = 0;
  #unsentSends = 0;
  #mayHaveRun = false;

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
    this.#log = new RequestLog(options.deps.logger, options.req);
    this.#timeline = new AnswerTimeline(options.req.receivedMs, options.req.route);
    this.#progress = {
      lastEventId: options.req.head.lastEventId,
      isHeadSent: false,
      isFramed: false,
    };
    this.#final = new FinalAnswer({
      ...{ deps: options.deps, req: options.req, writer: options.writer, log: this.#log },
      ...{ progress: this.#progress, timeline: this.#timeline, getSends: () => this.#sends },
    });
  }

  async run(): Promise<void> {
    const { fingerprint } = this.#req;
    if (this.#deps.crashes.isBlocked(fingerprint)) {
      this.#final.reject("blocked: it crashed its upstreams", NO_UPSTREAM_RETRY_AFTER_MS);
      return;
    }
    this.#deps.retryBudget.addRequest(this.#pool);
    for (;;) {
      const placement = await this.#placer.find({
        req: this.#req,
        pool: this.#pool,
        excluded: this.#excluded,
        timeline: this.#timeline,
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
      onEvents: () => {
        this.#onEvents(placement);
      },
      isAlive: () => this.#deps.control.isAlive(placement.upstream),
    });
    const headers = dialect.newUpstreamHeaders(req, {
      deadlineMs: Math.max(1, Math.floor(this.#deadlineAtMs - now)),
      upstreamId: placement.upstream.id,
      customer: req.customer,
      lastEventId: this.#progress.lastEventId,
      urgency: getUrgency(placement),
      helpers: orderHelpers(placement, reservations),
    });
    const { listedMs } = this.#deps.view;
    this.#log.logSend(placement, { sends: this.#sends, nowMs: now, listedMs });
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
    const { clock, retryBudget } = this.#deps;
    this.#countSend(outcome);
    this.#updateHealth(placement.upstream, outcome);
    const next = decideNext(this.#req.route, outcome, {
      sends: this.#sends,
      unsent: this.#unsentSends,
      mayHaveRun: this.#mayHaveRun,
      timeLeftMs: this.#deadlineAtMs - clock.now(),
      trySpend: () => retryBudget.trySpend(this.#pool),
    });
    this.#log.logSendEnd(placement.upstream.id, outcome, {
      ...{ next, sends: this.#sends, nowMs: clock.now() },
    });
    this.#performStep(next, outcome);
    return next;
  }

  #performStep(next: NextStep, outcome: SendOutcome): void {
    switch (next) {
      case NextStep.Retry:
        return;
      case NextStep.Done:
        this.#final.finish(outcome);
        return;
      case NextStep.Deliver:
        this.#final.deliver(outcome);
        return;
      case NextStep.Reject:
        this.#final.reject(outcome.reason, REJECTED_RETRY_AFTER_MS);
        return;
      case NextStep.Fail:
        this.#final.fail(outcome);
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
    const { health, view, crashes } = this.#deps;
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
      this.#log.logEjection(faulty.id, reason);
    }
  }

  #endWithoutPlacement(reason: PlacementFailure): void {
    if (reason === PlacementFailure.Cancelled) {
      this.#final.finish({ result: SendResult.Cancelled, reason });
    } else if (this.#mayHaveRun) {
      this.#final.fail({ result: SendResult.TimedOut, reason });
    } else {
      this.#final.reject(reason, this.#getRetryAfterMs(reason));
    }
  }

  /** Rejected prompts come back when room is expected, at unlike times, so that they don't return all at once. */
  #getRetryAfterMs(reason: PlacementFailure): number {
    if (reason !== PlacementFailure.Overloaded) {
      return NO_UPSTREAM_RETRY_AFTER_MS;
    }
    const roomMs = Math.max(NO_UPSTREAM_RETRY_AFTER_MS, this.#placer.getRoomMs(this.#pool));
    return roomMs * (1 + RETURN_SPREAD * this.#deps.random.next());
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
