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
/** Time before the end at which an answer of this process's own goes out. */
const END_MARGIN_MS = 20;
const NO_UPSTREAM_RETRY_MS = 500;
const CROWDED_RETRY_MS = 250;
/** Time after which memory that was taken by another may be free. */
const NO_MEMORY_PAUSE_MS = 60;
/** Results that say nothing of the upstream. */
const BLAMELESS_RESULTS: ReadonlySet<SendResult> = new Set([
  SendResult.Cancelled,
  SendResult.TimedOut,
  SendResult.NoMemory,
]);

/** One request, from the door to its final answer. */
export class ForwardJob {
  readonly #parts: ForwardDependencies;
  readonly #placer: Placer;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #pool: string;
  readonly #endMs: number;
  readonly #excluded = new Set<string>();
  readonly #progress: AnswerProgress;
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;
  #firstMs: number | undefined;

  constructor(options: {
    parts: ForwardDependencies;
    placer: Placer;
    req: ForwardRequest;
    writer: AnswerWriter;
  }) {
    this.#parts = options.parts;
    this.#placer = options.placer;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#pool = this.#pickPool();
    this.#endMs = getDeadlineAtMs(options.req);
    this.#progress = {
      lastEventId: options.req.head.lastEventId,
      isHeadSent: false,
      isFramed: false,
    };
  }

  async run(): Promise<void> {
    const { fingerprint } = this.#req;
    if (this.#parts.crashes.isBlocked(fingerprint)) {
      this.#refuse("blocked: it crashed its upstreams", NO_UPSTREAM_RETRY_MS);
      return;
    }
    this.#parts.retryBudget.addRequest(this.#pool);
    for (;;) {
      const place = await this.#placer.find({
        req: this.#req,
        pool: this.#pool,
        excluded: this.#excluded,
        deadlineAtMs: this.#endMs,
      });
      if (typeof place === "string") {
        this.#endWithoutPlace(place);
        return;
      }
      const outcome = await this.#sendTo(place);
      if (this.#follow(place, outcome) !== NextStep.Retry) {
        return;
      }
    }
  }

  async #sendTo(place: Placement): Promise<SendOutcome> {
    const tickets = await this.#holdTickets(place);
    if (tickets === "missing") {
      await sleep(this.#parts.clock, NO_MEMORY_PAUSE_MS, this.#req.signal);
      return { result: SendResult.NoMemory, reason: "memory not held" };
    }
    try {
      return await this.#send(place, tickets);
    } finally {
      tickets?.release();
    }
  }

  async #holdTickets({ plan }: Placement): Promise<Reservations | "missing" | undefined> {
    const wishes = (plan?.helpers ?? [])
      .map((upstream, index) => ({ upstream, tokens: plan?.heldTokens[index] ?? 0 }))
      .filter(({ tokens }) => tokens > 0);
    if (wishes.length === 0) {
      return undefined;
    }
    const id = `${this.#req.head.attemptId}-${String(this.#sends + this.#unsent)}`;
    const hold = this.#parts.reservations.reserveAll(id, wishes);
    const { clock } = this.#parts;
    const held = await raceDeadline(hold, clock, this.#endMs - END_MARGIN_MS, this.#req.signal);
    if (held === NOT_SETTLED) {
      void hold.then((tickets) => tickets?.release());
      return "missing";
    }
    return held ?? "missing";
  }

  async #send(place: Placement, tickets: Reservations | undefined): Promise<SendOutcome> {
    const { clock, transport, dialect } = this.#parts;
    const req = this.#req;
    const now = clock.now();
    if (req.signal.aborted) {
      return { result: SendResult.Cancelled, reason: "caller left" };
    }
    const send = new Send({
      ...{ clock, dialect, req, writer: this.#writer, progress: this.#progress },
      silence: getStallTimeouts(req.route, place, this.#sends + 1 >= req.route.maxAttempts),
      onFirstEvent: () => {
        this.#onFirstEvent(place);
      },
      isAlive: () => this.#parts.control.isAlive(place.writer),
    });
    const headers = dialect.newUpstreamHeaders(req, {
      deadlineMs: Math.max(1, Math.floor(this.#endMs - now)),
      upstreamId: place.writer.id,
      customer: req.customer,
      lastEventId: this.#progress.lastEventId,
      urgency: place.request ? getUrgency(place.request.maxGapMs) : undefined,
      helpers: orderHelpers(place, tickets),
    });
    this.#logSend(place, now);
    const call = transport.open(
      {
        ...{ host: place.writer.host, port: place.writer.port },
        ...{ method: req.head.method, path: req.head.path, headers, body: req.body },
        connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, this.#endMs - now),
      },
      send,
    );
    send.start(call);
    return this.#watch(send);
  }

  async #watch(send: Send): Promise<SendOutcome> {
    const { clock } = this.#parts;
    const { signal } = this.#req;
    const onAbort = (): void => {
      send.stop(SendResult.Cancelled, "caller left");
    };
    signal.addEventListener("abort", onAbort);
    const cancelEnd = clock.setTimer(
      () => {
        send.stop(SendResult.TimedOut, "time over");
      },
      Math.max(0, this.#endMs - END_MARGIN_MS - clock.now()),
    );
    try {
      return await send.outcome;
    } finally {
      cancelEnd();
      signal.removeEventListener("abort", onAbort);
    }
  }

  /** Records what a send came to and takes the next step. */
  #follow(place: Placement, outcome: SendOutcome): NextStep {
    const { clock, retryBudget: retries, logger } = this.#parts;
    this.#count(outcome);
    this.#judge(place.writer, outcome);
    const next = decideNext(this.#req.route, outcome, {
      sends: this.#sends,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
      timeLeftMs: this.#endMs - clock.now(),
      trySpend: () => retries.trySpend(this.#pool),
    });
    logger.info("answered by upstream", {
      ...{ requestId: this.#req.head.attemptId, step: "send", peer: place.writer.id },
      ...{ result: outcome.result, reason: outcome.reason, next, sends: this.#sends },
      ms: Math.round(clock.now() - this.#req.receivedMs),
    });
    this.#take(next, outcome);
    return next;
  }

  #take(next: NextStep, outcome: SendOutcome): void {
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
        this.#refuse(outcome.reason, CROWDED_RETRY_MS);
        return;
      case NextStep.Fail:
        this.#fail(outcome);
    }
  }

  #count({ result }: SendOutcome): void {
    if (result === SendResult.Unsent || result === SendResult.NoMemory) {
      this.#unsent += 1;
      return;
    }
    this.#sends += 1;
    this.#mayHaveRun ||= result !== SendResult.NotRun;
  }

  /** Remembers what a send says of its upstream. */
  #judge(upstream: Upstream, outcome: SendOutcome): void {
    const { health, view, crashes, logger } = this.#parts;
    const { result, reason, faultAddress } = outcome;
    const { fingerprint } = this.#req;
    if (result === SendResult.Delivered) {
      health.record(upstream.id, UpstreamResult.Good);
      crashes.clear(fingerprint);
      return;
    }
    if (BLAMELESS_RESULTS.has(result)) {
      return;
    }
    const atFault = faultAddress
      ? [...view.upstreams.values()].find(
          ({ host, port }) => `${host}:${String(port)}` === faultAddress,
        )
      : upstream;
    this.#excluded.add(upstream.id);
    if (!atFault) {
      return;
    }
    this.#excluded.add(atFault.id);
    const isLost = result === SendResult.Unsent || result === SendResult.Broken;
    const judged = isLost ? UpstreamResult.Unreachable : UpstreamResult.Failed;
    if (result === SendResult.Broken) {
      crashes.recordCrash(fingerprint, atFault.id);
    }
    if (health.record(atFault.id, judged)) {
      logger.info("upstream rests", { step: "send", peer: atFault.id, reason });
    }
  }

  #endWithoutPlace(reason: PlacementFailure): void {
    if (reason === PlacementFailure.Cancelled) {
      this.#end(SendResult.Cancelled);
    } else if (this.#mayHaveRun) {
      this.#fail({ result: SendResult.TimedOut, reason });
    } else {
      this.#refuse(reason, NO_UPSTREAM_RETRY_MS);
    }
  }

  #refuse(reason: string, retryAfterMs: number): void {
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
      const headers = this.#parts.dialect.newAnswerHeaders(answer.head, { keepLength: true });
      this.#writer.sendHead(answer.head.status, headers, answer.isFramed);
      this.#writer.write(answer.body);
      this.#writer.end();
    }
    this.#end("upstream_failure");
  }

  #end(result: string, reason?: string): void {
    const { clock, logger, onEnd } = this.#parts;
    const totalMs = clock.now() - this.#req.receivedMs;
    const { route, head } = this.#req;
    logger.info("request ended", {
      ...{ requestId: head.attemptId, step: "reply", route: route.name, result, reason },
      ...{ sends: this.#sends, ms: Math.round(totalMs) },
    });
    const { name } = route;
    onEnd({ route: name, result, firstMs: this.#firstMs, totalMs, sends: this.#sends });
  }

  #onFirstEvent(place: Placement): void {
    const { loadTracker: board, clock, logger } = this.#parts;
    this.#firstMs ??= clock.now() - this.#req.receivedMs;
    board.startWriting(this.#req.head.attemptId);
    logger.info("first event", {
      ...{ requestId: this.#req.head.attemptId, step: "first_token", peer: place.writer.id },
      ms: Math.round(this.#firstMs),
      expectedMs: Math.round(place.waitedMs + (place.plan?.firstEventMs ?? 0)),
    });
  }

  #logSend(place: Placement, now: number): void {
    const { view, logger } = this.#parts;
    const { head, route, revision, receivedMs, customer } = this.#req;
    logger.info("sent to upstream", {
      ...{ requestId: head.attemptId, step: "send", peer: place.writer.id, route: route.name },
      ...{ customer, tokens: head.promptTokens, revision, sends: this.#sends },
      helpers: place.plan?.helpers.map(({ id }) => id) ?? [],
      held: place.plan?.heldTokens.filter((tokens) => tokens > 0).length ?? 0,
      expectedMs: Math.round(place.plan?.firstEventMs ?? 0),
      loss: Number((place.plan?.loss ?? 0).toFixed(2)),
      listAgeMs: Math.round(now - view.listedMs),
      waitedMs: Math.round(now - receivedMs),
    });
  }

  #pickPool(): string {
    const { pools } = this.#req.route;
    const sum = pools.reduce((total, { weight }) => total + weight, 0);
    let left = this.#parts.random.next() * sum;
    for (const { pool, weight } of pools) {
      left -= weight;
      if (left < 0) {
        return pool;
      }
    }
    return pools[0]?.pool ?? "";
  }
}
