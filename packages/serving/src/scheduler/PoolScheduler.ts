import {
  Suspicion,
  type Cancel,
  type Clock,
  type PlacementPolicy,
  type Protections,
  type QueueOrder,
} from "@lycheepulley/core";
import type { EngineLoad } from "@lycheepulley/engines";

import { chooseGroup, findRejection, getRetryAfterMs, newBlockedAnswer } from "./admission.js";
import { preferReturned, type TrackedEngine, type TrackedGrant } from "./TrackedEngine.js";
import { EngineMonitor } from "./EngineMonitor.js";
import { EngineTable, type PoolEngine } from "./EngineTable.js";
import type { StrikeTracker } from "./StrikeTracker.js";
import {
  GrantEnd,
  RejectionCode,
  type AcquireAnswer,
  type AcquireRequest,
  type HeldGrant,
} from "./types.js";
import { WaitQueue, type Waiting } from "./WaitQueue.js";

/** A grant that its holder hasn't renewed for this long is revoked. */
export const GRANT_TERM_MS = 4_000;
const STALE_RETRY_MS = 50;
const REAP_INTERVAL_MS = 1_000;
export interface PoolSchedulerOptions {
  readonly pool: string;
  readonly clock: Clock;
  readonly policy: PlacementPolicy;
  readonly order: QueueOrder;
  readonly strikes: StrikeTracker;
  readonly protections: Protections;
  /** False while the agreed state may be stale; nothing is granted then. */
  readonly isAgreedStateFresh: () => boolean;
  readonly getMaxQueued: () => number;
  readonly getLongPromptTokens: () => number;
  /** Estimated prompt tokens in each engine's prefix cache. */
  readonly getCachedTokens: (blocks: readonly string[]) => Readonly<Record<string, number>>;
  readonly onGranted?: (req: AcquireRequest, engine: string) => void;
  readonly onDeath?: (engine: string, requestIds: readonly string[]) => void;
}

/**
 * Schedules the requests of one pool for all entry processes: tracks the
 * grants on each engine and queues the requests that don't fit yet.
 */
export class PoolScheduler {
  readonly #options: PoolSchedulerOptions;
  readonly #monitor: EngineMonitor;
  readonly #engines = new EngineTable();
  readonly #queue: WaitQueue;
  #cancelReap: Cancel | undefined;
  #cancelRetry: Cancel | undefined;

  constructor(options: PoolSchedulerOptions) {
    this.#options = options;
    this.#queue = new WaitQueue({ clock: options.clock, order: options.order });
    this.#monitor = new EngineMonitor({
      clock: options.clock,
      strikes: options.strikes,
      events: {
        onDeath: (engine, grants) => {
          options.onDeath?.(
            engine.name,
            grants.map(({ id }) => id),
          );
        },
        onBrokenGrant: (engine, grant) => {
          this.#removeGrant(engine, grant, GrantEnd.Unused);
        },
        onChange: () => {
          this.#dispatch();
        },
      },
    });
    this.#scheduleReap();
  }

  get queued(): number {
    return this.#queue.size;
  }

  getEngines(): readonly TrackedEngine[] {
    return this.#engines.getAll();
  }

  /** Tells whether an engine has a grant with this id. */
  isHeld(engine: string, id: string): boolean {
    return this.#engines.get(engine)?.grants.has(id) ?? false;
  }

  /** Sets the pool's engines, as the directory lists them. */
  setEngines(engines: readonly PoolEngine[]): void {
    this.#engines.setEngines(engines, this.#options.clock.now());
    this.#dispatch();
  }

  /** Queues a request until it is granted or rejected, or its time-out expires. */
  acquire(req: AcquireRequest, holder: string): Promise<AcquireAnswer> {
    const rejection = this.#findRejection(req);
    if (rejection) return Promise.resolve(rejection);
    this.#engines.learnCapacity(req);
    const answer = this.#queue.add(req, holder, () => {
      const message = "no engine was free within the class's time";
      this.#answer(req.id, this.#newRejection(RejectionCode.Timeout, message));
    });
    this.#dispatch();
    return answer;
  }

  /** Removes a request whose caller disconnected from the queue, or releases its grant. */
  abandon(id: string): void {
    this.#answer(id, this.#newRejection(RejectionCode.Timeout, "caller is gone"));
    this.release(id, GrantEnd.Unused);
  }

  /** Releases a grant. */
  release(id: string, end: GrantEnd): void {
    for (const engine of this.#engines.getAll()) {
      const grant = engine.grants.get(id);
      if (grant && end === GrantEnd.Broken) {
        // The grant stays until a probe tells whether the engine died.
        grant.isBroken = true;
        this.#probe(engine);
      } else if (grant) {
        this.#removeGrant(engine, grant, end);
      }
    }
    this.#dispatch();
  }

  /** Renews the grants that a process reports to hold; unknown ones are added. */
  renew(holder: string, held: readonly HeldGrant[]): void {
    const now = this.#options.clock.now();
    for (const report of held) {
      if (!this.#queue.has(report.id)) {
        this.#engines.renew(holder, report, now);
      }
    }
  }

  /** Handles an engine's load report. */
  onLoad(name: string, load: EngineLoad): void {
    const engine = this.#engines.get(name);
    if (engine) {
      this.#monitor.onLoad(engine, load);
    }
  }

  /** Probes an engine whose load report failed. */
  onLoadFailure(name: string): void {
    const engine = this.#engines.get(name);
    if (engine) {
      this.#probe(engine);
    }
  }

  close(): void {
    this.#cancelReap?.();
    this.#cancelRetry?.();
    for (const { id } of this.#queue.getRequests()) {
      this.#answer(id, this.#newRejection(RejectionCode.NoEngine, "scheduler is closing"));
    }
  }

  #probe(engine: TrackedEngine): void {
    const client = this.#engines.getClient(engine.name);
    if (client) {
      void this.#monitor.probe(engine, client);
    }
  }

  #findRejection(req: AcquireRequest): AcquireAnswer | undefined {
    if (this.#options.strikes.getSuspicion(req.fingerprint) === Suspicion.Blocked) {
      return newBlockedAnswer();
    }
    const rejection = findRejection(req, {
      waiting: this.#queue.getRequests(),
      maxQueued: this.#options.getMaxQueued(),
      engines: this.#engines.getAll().length,
      liveEngines: this.#engines.liveCount,
    });
    return rejection && this.#newRejection(rejection.code, rejection.message);
  }

  #newRejection(code: RejectionCode, message: string): AcquireAnswer {
    const retryAfterMs = getRetryAfterMs(this.#queue.getRequests(), this.#engines.liveCount);
    return { result: "refused", code, message, retryAfterMs };
  }

  #answer(id: string, answer: AcquireAnswer): void {
    const wasQueued = this.#queue.leave(id, answer);
    const isIsolated = answer.result === "granted" && answer.isAlone;
    if (wasQueued && !isIsolated) {
      this.#engines.endIsolation(id);
    }
  }

  #dispatch(): void {
    if (!this.#options.isAgreedStateFresh()) {
      this.#dispatchLater();
      return;
    }
    const now = this.#options.clock.now();
    for (const waiting of this.#queue.getOrdered()) {
      this.#tryPlace(waiting, now);
    }
  }

  #dispatchLater(): void {
    this.#cancelRetry ??= this.#options.clock.setTimer(() => {
      this.#cancelRetry = undefined;
      this.#dispatch();
    }, STALE_RETRY_MS);
  }

  #tryPlace(waiting: Waiting, now: number): void {
    const { fingerprint, id } = waiting.req;
    const suspicion = this.#options.strikes.getSuspicion(fingerprint);
    if (suspicion === Suspicion.Blocked) {
      this.#answer(id, newBlockedAnswer());
      return;
    }
    const runningEngine = this.#options.protections.block
      ? this.#engines.findRunning(fingerprint)
      : undefined;
    if (suspicion === Suspicion.Suspect) {
      if (!runningEngine) {
        this.#tryIsolate(waiting, now);
      }
      return;
    }
    // Equal prompts share one engine, so that one that crashes engines takes down only that one.
    const engines = runningEngine
      ? [this.#keepIfAvailable(runningEngine, waiting.req)].filter((engine) => engine !== undefined)
      : this.#choose(waiting, now);
    if (engines.length > 0) {
      this.#grant(waiting, engines, { isAlone: false, now });
    }
  }

  #keepIfAvailable(engine: TrackedEngine, req: AcquireRequest): TrackedEngine | undefined {
    return this.#isOpen(engine, req) && engine.isolatedFor === undefined ? engine : undefined;
  }

  #isOpen(engine: TrackedEngine, req: AcquireRequest): boolean {
    return engine.isOpen(req.model, this.#options.protections.leavingCheck);
  }

  /** Chooses engines for a request, the generating one last; none leaves it queued. */
  #choose(waiting: Waiting, now: number): TrackedEngine[] {
    const { req } = waiting;
    const available = this.#engines.getAll().filter((engine) => this.#keepIfAvailable(engine, req));
    const untried = available.filter((engine) => !req.excluded.includes(engine.name));
    const candidates = untried.length > 0 ? untried : available;
    return preferReturned(candidates, now, (engines) => this.#chooseAmong(engines, waiting, now));
  }

  #chooseAmong(
    candidates: readonly TrackedEngine[],
    { req, entry }: Waiting,
    now: number,
  ): TrackedEngine[] {
    const longPromptTokens = this.#options.getLongPromptTokens();
    const engines = candidates.map((engine) => engine.getView(now, longPromptTokens));
    const { id, promptTokens, outputTokens } = req;
    const prompt = {
      ...{ id, promptTokens, outputTokens, waitedMs: now - entry.arrivedMs },
      cachedTokens: this.#options.getCachedTokens(req.prefixBlocks),
      remainingMs: Math.max(0, req.remainingMs - (now - entry.arrivedMs)),
    };
    const chosen =
      req.parts > 1
        ? chooseGroup(req, engines)
        : [this.#options.policy.choose(prompt, { engines, longPromptTokens })];
    return chosen.flatMap((view) => this.#engines.get(view?.name ?? "") ?? []);
  }

  /** Empties an engine for a suspect request, then runs it there in isolation. */
  #tryIsolate(waiting: Waiting, now: number): void {
    const { req } = waiting;
    const available = this.#engines.getAll().filter((engine) => this.#isOpen(engine, req));
    const engine = this.#engines.chooseIsolationEngine(req.id, available);
    if (!engine) {
      return;
    }
    engine.isolatedFor = req.id;
    if (engine.grants.size === 0) {
      this.#grant(waiting, [engine], { isAlone: true, now });
    }
  }

  #grant(
    waiting: Waiting,
    engines: readonly TrackedEngine[],
    options: { isAlone: boolean; now: number },
  ): void {
    const { req, holder } = waiting;
    const { isAlone, now } = options;
    const cached = this.#options.getCachedTokens(req.prefixBlocks);
    const promptTokens = Math.ceil(req.promptTokens / engines.length);
    for (const engine of engines) {
      const grant: TrackedGrant = {
        ...{ id: req.id, engine: engine.name, promptTokens, outputTokens: req.outputTokens },
        ...{ fingerprint: req.fingerprint, isAlone, holder, renewedMs: now },
        ...{ hasFirstToken: false, isBroken: false },
        remainingPrefillTokens: Math.max(1, promptTokens - (cached[engine.name] ?? 0)),
      };
      engine.add(grant, now);
    }
    const members = engines.map(({ name }) => name);
    const generating = members.at(-1) ?? "";
    this.#options.onGranted?.(req, generating);
    this.#answer(req.id, { result: "granted", id: req.id, engine: generating, members, isAlone });
  }

  #removeGrant(engine: TrackedEngine, grant: TrackedGrant, end: GrantEnd): void {
    engine.grants.delete(grant.id);
    if (engine.isolatedFor === grant.id) {
      engine.isolatedFor = undefined;
    }
    if (end === GrantEnd.Refused) {
      engine.isRejectingWork = true;
    }
    if (end === GrantEnd.Done && grant.isAlone) {
      this.#options.strikes.lift(grant.fingerprint, "survived alone");
    }
  }

  #scheduleReap(): void {
    this.#cancelReap = this.#options.clock.setTimer(() => {
      if (this.#options.protections.reaper) {
        this.#reap();
      }
      this.#scheduleReap();
    }, REAP_INTERVAL_MS);
  }

  /** Revokes grants that weren't renewed in time. */
  #reap(): void {
    const oldestMs = this.#options.clock.now() - GRANT_TERM_MS;
    for (const { engine, grant } of this.#engines.getExpiredGrants(oldestMs)) {
      this.#removeGrant(engine, grant, GrantEnd.Unused);
    }
    this.#dispatch();
  }
}
