import type { Upstream } from "./fleetConfig.js";
import type { ForwardDependencies } from "./forwardDependencies.js";
import { SendResult, type SendOutcome } from "./outcomes.js";
import type { RequestLog } from "./RequestLog.js";
import type { AnswerFacts, ForwardRequest } from "./types.js";
import { UpstreamResult } from "./UpstreamHealth.js";

/** Results that say nothing about the health of the upstream. */
const NEUTRAL_RESULTS: ReadonlySet<SendResult> = new Set([
  SendResult.Cancelled,
  SendResult.TimedOut,
  SendResult.NoMemory,
  SendResult.Internal,
  SendResult.Superseded,
  SendResult.Leaving,
]);

/** Records what the sends of one request tell about upstreams, and about the request itself. */
export class SendFeedback {
  readonly #deps: ForwardDependencies;
  readonly #req: ForwardRequest;
  readonly #log: RequestLog;
  readonly #excluded = new Set<string>();

  constructor(options: { deps: ForwardDependencies; req: ForwardRequest; log: RequestLog }) {
    this.#deps = options.deps;
    this.#req = options.req;
    this.#log = options.log;
  }

  /** Ids of upstreams that failed the request or stall. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  recordStall(id: string, { isAlive, reason }: { isAlive: boolean; reason: string }): void {
    this.#excluded.add(id);
    if (!isAlive) {
      this.#logBreak(id, reason);
    }
    this.#recordFailure(id, UpstreamResult.Unreachable, reason);
  }

  /** Records what the head of an answer says of its upstream; the request went out at `sentMs`. */
  recordHead({ id }: Upstream, sentMs: number, facts: AnswerFacts): void {
    const { limits, cold, clock, rests, view, onLeaving } = this.#deps;
    if (facts.isLeaving && view.recordLeaving(id)) {
      this.#log.logLeaving(id);
      onLeaving(id);
    }
    if (facts.restMs !== undefined) {
      rests.record(id, facts.restMs);
    }
    if (facts.coldMs !== undefined) {
      cold?.record(id, facts.coldMs);
    }
    if (facts.unreadableLimit !== undefined) {
      this.#log.logUnreadableLimit(id, facts.unreadableLimit);
    }
    limits.record({
      ...{ upstream: id, perSecond: facts.limitPerSecond, sentMs, receivedMs: clock.now() },
    });
  }

  recordOutcome(upstream: Upstream, outcome: SendOutcome): void {
    const { health } = this.#deps;
    const { result, reason } = outcome;
    if (result === SendResult.Delivered) {
      health.record(upstream.id, UpstreamResult.Good);
      return;
    }
    if (NEUTRAL_RESULTS.has(result)) {
      return;
    }
    this.#excluded.add(upstream.id);
    if (result === SendResult.Doubtful) {
      return;
    }
    const faulty = this.#findFaulty(upstream, outcome);
    if (!faulty) {
      return;
    }
    this.#excluded.add(faulty.id);
    if (result === SendResult.Broken && !outcome.isInvalid) {
      this.#logBreak(faulty.id, reason);
    }
    const isLost = result === SendResult.Unsent || result === SendResult.Broken;
    const healthResult = isLost ? UpstreamResult.Unreachable : UpstreamResult.Failed;
    this.#recordFailure(faulty.id, healthResult, reason);
    if (faulty !== upstream) {
      // Its part of a prompt isn't prefilled: it is full, leaves or is dead, and no status tells which.
      this.#deps.watch.suspect(faulty.id);
    }
  }

  #logBreak(id: string, reason: string): void {
    const crashes = this.#deps.guard.evidence.countLosses(this.#req.fingerprint);
    this.#log.logBreak(id, { reason, crashes });
  }

  #findFaulty(upstream: Upstream, { faultAddress }: SendOutcome): Upstream | undefined {
    return faultAddress
      ? [...this.#deps.view.upstreams.values()].find(
          ({ host, port }) => `${host}:${String(port)}` === faultAddress,
        )
      : upstream;
  }

  #recordFailure(id: string, result: UpstreamResult, reason: string): void {
    if (this.#deps.health.record(id, result)) {
      this.#log.logEjection(id, reason);
    }
    if (result === UpstreamResult.Unreachable) {
      this.#deps.watch.suspect(id);
    }
  }
}
