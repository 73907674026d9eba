import { sleep, type Cancel } from "@lycheepulley/core";

import { CostLesson } from "./costs/CostLesson.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { SendResult, type SendOutcome } from "./outcomes.js";
import type { Placement } from "./Placer.js";
import { raceDeadline, NOT_SETTLED } from "./raceDeadline.js";
import type { Reservations } from "./ReservationManager.js";
import type { AnswerProgress, SendObserver } from "./answerProgress.js";
import { Send } from "./Send.js";
import { getStallTimeouts, getUrgency, orderHelpers } from "./sendParameters.js";
import type { AnswerWriter, ForwardRequest } from "./types.js";

const CONNECT_TIMEOUT_MS = 400;
/** Time before the deadline at which this process answers itself. */
const MARGIN_MS = 20;
/** Pause after KV memory that a plan counted on was taken by another request. */
const NO_MEMORY_PAUSE_MS = 60;

const STOP_REASONS: Partial<Record<SendResult, string>> = {
  [SendResult.Cancelled]: "caller left",
  [SendResult.Superseded]: "another send took over",
  [SendResult.Leaving]: "this process is leaving",
};

/** Nothing was sent, and another upstream is chosen. */
const EVACUATED: SendOutcome = {
  ...{ result: SendResult.NoMemory, reason: "failure domain evacuated" },
};

/** Outcome of a send that is ended early; undefined unless `signal` is aborted. */
const getStopOutcome = (signal: AbortSignal): SendOutcome | undefined => {
  if (!signal.aborted) {
    return undefined;
  }
  const result = signal.reason as SendResult;
  return { result, reason: STOP_REASONS[result] ?? result };
};

export type { SendObserver };

/** Runs the sends of one request: reserves KV memory, sends, and ends each at the deadline. */
export class SendRunner {
  readonly #deps: ForwardDependencies;
  readonly #req: ForwardRequest;
  readonly #writer: AnswerWriter;
  readonly #progress: AnswerProgress;
  /** Monotonic time by which a send has to end. */
  readonly deadlineAtMs: number;
  #reserved = 0;

  constructor(options: {
    deps: ForwardDependencies;
    req: ForwardRequest;
    writer: AnswerWriter;
    progress: AnswerProgress;
    deadlineAtMs: number;
  }) {
    this.#deps = options.deps;
    this.#req = options.req;
    this.#writer = options.writer;
    this.#progress = options.progress;
    this.deadlineAtMs = options.deadlineAtMs;
  }

  /** Runs one send until its outcome; `signal` is aborted with the result of one that is ended early. */
  async run(
    placement: Placement,
    signal: AbortSignal,
    observer: SendObserver,
  ): Promise<SendOutcome> {
    if (this.#isEvacuated(placement)) {
      return EVACUATED;
    }
    const reservations = await this.#reserveMemory(placement, signal);
    if (reservations === "missing") {
      await sleep(this.#deps.clock, NO_MEMORY_PAUSE_MS, signal);
      return getStopOutcome(signal) ?? { result: SendResult.NoMemory, reason: "memory not held" };
    }
    try {
      const stopped = getStopOutcome(signal);
      if (stopped || this.#isEvacuated(placement)) {
        return stopped ?? EVACUATED;
      }
      return await this.#send({ placement, reservations, signal, observer });
    } finally {
      reservations?.release();
    }
  }

  /** True when a failure domain was evacuated after the placement was found. */
  #isEvacuated({ upstream, plan }: Placement): boolean {
    return [upstream, ...(plan?.helpers ?? [])].some((one) => this.#deps.view.isEvacuated(one));
  }

  async #reserveMemory(
    { plan }: Placement,
    signal: AbortSignal,
  ): Promise<Reservations | "missing" | undefined> {
    const requests = (plan?.helpers ?? [])
      .map((upstream, index) => ({ upstream, tokens: plan?.heldTokens[index] ?? 0 }))
      .filter(({ tokens }) => tokens > 0);
    if (requests.length === 0) {
      return undefined;
    }
    const id = `${this.#req.head.attemptId}-${String(this.#reserved++)}`;
    const work = this.#deps.reservations.reserveAll(id, requests);
    const { clock } = this.#deps;
    const held = await raceDeadline(work, clock, this.deadlineAtMs - MARGIN_MS, signal);
    if (held === NOT_SETTLED) {
      void work.then((reservations) => reservations?.release());
      return "missing";
    }
    return held ?? "missing";
  }

  async #send(options: {
    placement: Placement;
    reservations: Reservations | undefined;
    signal: AbortSignal;
    observer: SendObserver;
  }): Promise<SendOutcome> {
    const { placement, reservations, signal } = options;
    const { clock, transport, dialect, costs, answerCosts } = this.#deps;
    const { id: peer, pool } = placement.upstream;
    const req = this.#req;
    const isResumed = this.#progress.lastEventId !== undefined;
    const lesson = costs && new CostLesson({ costs, clock, req, placement, isResumed });
    const observer = lesson?.follow(options.observer) ?? options.observer;
    const now = clock.now();
    const send = new Send({
      ...{ clock, dialect, req, writer: this.#writer, progress: this.#progress },
      timeouts: getStallTimeouts(req.route, placement),
      observer,
      tally: answerCosts?.open({ requestId: req.head.attemptId, peer, pool }),
      isAlive: () => this.#deps.control.isAlive(placement.upstream),
      accepts: () => this.#deps.watch.accepts(placement.upstream),
    });
    const headers = dialect.newUpstreamHeaders(req, {
      deadlineMs: Math.max(1, Math.floor(this.deadlineAtMs - now)),
      upstreamId: placement.upstream.id,
      customer: req.customer,
      lastEventId: this.#progress.lastEventId,
      urgency: getUrgency(placement),
      helpers: orderHelpers(placement, reservations),
    });
    observer.onOpen();
    const call = transport.open(
      {
        ...{ host: placement.upstream.host, port: placement.upstream.port },
        ...{ method: req.head.method, path: req.head.path, headers, body: req.body },
        ...{ homes: req.homes, confirm: req.confirmCaller },
        connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, this.deadlineAtMs - now),
      },
      send,
    );
    send.start(call);
    const stopWatching = this.#deps.losses.watch(placement.upstream, {
      holdsMemory: reservations !== undefined,
      get heardMs() {
        return send.heardMs;
      },
      onLost: (reason) => {
        send.stop({ result: SendResult.Broken, reason: `upstream lost: ${reason}`, isCut: true });
      },
    });
    try {
      const outcome = await this.#awaitOutcome(send, signal);
      lesson?.end(outcome);
      return outcome;
    } finally {
      stopWatching();
    }
  }

  async #awaitOutcome(send: Send, signal: AbortSignal): Promise<SendOutcome> {
    const { clock } = this.#deps;
    const onAbort = (): void => {
      const outcome = getStopOutcome(signal);
      if (outcome) {
        send.stop(outcome);
      }
    };
    signal.addEventListener("abort", onAbort);
    let cancelTimeout: Cancel = () => undefined;
    const stopInTime = (): void => {
      // Nothing more can be said to a caller that has a part of the answer.
      const marginMs = this.#progress.isHeadSent ? 0 : MARGIN_MS;
      const leftMs = this.deadlineAtMs - marginMs - clock.now();
      if (leftMs <= 0) {
        send.stop({ result: SendResult.TimedOut, reason: "time over" });
      } else {
        cancelTimeout = clock.setTimer(stopInTime, leftMs);
      }
    };
    stopInTime();
    try {
      return await send.outcome;
    } finally {
      cancelTimeout();
      signal.removeEventListener("abort", onAbort);
    }
  }
}
