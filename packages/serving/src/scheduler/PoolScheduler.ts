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
import type { TrackedEngine, TrackedGrant } from "./TrackedEngine.js";
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

/** A grant whose user was silent this long is taken back. */
export const GRANT_TERM_MS = 4_000;
const STALE_RETRY_MS = 50;
const REAP_INTERVAL_MS = 1_000;
export interface PoolSchedulerOptions {
  readonly pool: string;
  readonly clock: Clock;
  readonly policy: PlacementPolicy;
  readonly order: QueueOrder;
  readonly suspects: StrikeTracker;
  readonly protections: Protections;
  /** False while the agreed state may be old; nothing is granted then. */
  readonly isAgreedStateFresh: () => boolean;
  readonly getMaxQueued: () => number;
  readonly getLongPromptTokens: () => number;
  /** Prompt tokens that each engine is believed to have cached. */
  readonly getCachedTokens: (blocks: readonly string[]) => Readonly<Record<string, number>>;
  readonly onGranted?: (req: AcquireRequest, engine: string) => void;
  readonly onDeath?: (engine: string, requestIds: readonly string[]) => void;
}

/**
 * Places the requests of one pool. It knows what it granted on each engine,
 * keeps one queue for all entry processes, and gives every waiting request a
 * timer.
 */
export class PoolScheduler {
  readonly #options: PoolSchedulerOptions;
  readonly #monitor: EngineMonitor;
  readonly #slots = new EngineTable();
  readonly #queue: WaitQueue;
  #cancelReap: Cancel | undefined;
  #cancelRetry: Cancel | undefined;

  constructor(options: PoolSchedulerOptions) {
    this.#options = options;
    this.#queue = new WaitQueue({ clock: options.clock, order: options.order });
    this.#monitor = new EngineMonitor({
      clock: options.clock,
      suspects: options.suspects,
      events: {
        onDeath: (slot, grants) => {
          options.onDeath?.(
            slot.name,
            grants.map(({ id }) => id),
          );
        },
        onBrokenGrant: (slot, grant) => {
          this.#settleGrant(slot, grant, GrantEnd.Unused);
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
    return this.#slots.getAll();
  }

  /** Tells whether a grant stands behind an id that an engine holds. */
  isHeld(engine: string, id: string): boolean {
    return this.#slots.get(engine)?.grants.has(id) ?? false;
  }

  /** Takes the pool's engines from the directory. */
  setEngines(engines: readonly PoolEngine[]): void {
    this.#slots.setEngines(engines);
    this.#dispatch();
  }

  /** Waits for a place; every wait ends by a grant, a refusal or its timer. */
  acquire(req: AcquireRequest, holder: string): Promise<AcquireAnswer> {
    const refusal = this.#findRefusal(req);
    if (refusal) return Promise.resolve(refusal);
    this.#slots.learnCapacity(req);
    const answer = this.#queue.add(req, holder, () => {
      const message = "no engine was free within the class's time";
      this.#leave(req.id, this.#newRefusal(RejectionCode.Timeout, message));
    });
    this.#dispatch();
    return answer;
  }

  /** Ends the wait or the grant of a request whose caller is gone. */
  abandon(id: string): void {
    this.#leave(id, this.#newRefusal(RejectionCode.Timeout, "caller is gone"));
    this.release(id, GrantEnd.Unused);
  }

  /** Gives a place back. */
  release(id: string, end: GrantEnd): void {
    for (const slot of this.#slots.getAll()) {
      const grant = slot.grants.get(id);
      if (grant && end === GrantEnd.Broken) {
        // The grant stays until the probe tells whether the engine died.
        grant.isBroken = true;
        this.#probe(slot);
      } else if (grant) {
        this.#settleGrant(slot, grant, end);
      }
    }
    this.#dispatch();
  }

  /** Takes what a process says it holds; unknown grants are learned. */
  renew(holder: string, held: readonly HeldGrant[]): void {
    const now = this.#options.clock.now();
    for (const report of held) {
      if (!this.#queue.has(report.id)) {
        this.#slots.renew(holder, report, now);
      }
    }
  }

  /** Takes an engine's load report. */
  onLoad(engine: string, load: EngineLoad): void {
    const slot = this.#slots.get(engine);
    if (slot) {
      this.#monitor.onLoad(slot, load);
    }
  }

  /** Notes that an engine did not report. */
  onLoadFailure(engine: string): void {
    const slot = this.#slots.get(engine);
    if (slot) {
      this.#probe(slot);
    }
  }

  close(): void {
    this.#cancelReap?.();
    this.#cancelRetry?.();
    for (const { id } of this.#queue.getRequests()) {
      this.#leave(id, this.#newRefusal(RejectionCode.NoEngine, "scheduler is closing"));
    }
  }

  #probe(slot: TrackedEngine): void {
    const client = this.#slots.getClient(slot.name);
    if (client) {
      void this.#monitor.probe(slot, client);
    }
  }

  #findRefusal(req: AcquireRequest): AcquireAnswer | undefined {
    if (this.#options.suspects.getSuspicion(req.fingerprint) === Suspicion.Blocked) {
      return newBlockedAnswer();
    }
    const refusal = findRejection(req, {
      waiting: this.#queue.getRequests(),
      maxQueued: this.#options.getMaxQueued(),
      engines: this.#slots.getAll().length,
      liveEngines: this.#slots.liveCount,
    });
    return refusal && this.#newRefusal(refusal.code, refusal.message);
  }

  #newRefusal(code: RejectionCode, message: string): AcquireAnswer {
    const retryAfterMs = getRetryAfterMs(this.#queue.getRequests(), this.#slots.liveCount);
    return { result: "refused", code, message, retryAfterMs };
  }

  #leave(id: string, answer: AcquireAnswer): void {
    const isLeft = this.#queue.leave(id, answer);
    const isStillAlone = answer.result === "granted" && answer.isAlone;
    if (isLeft && !isStillAlone) {
      this.#slots.endIsolation(id);
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
    const suspicion = this.#options.suspects.getSuspicion(fingerprint);
    if (suspicion === Suspicion.Blocked) {
      this.#leave(id, newBlockedAnswer());
      return;
    }
    const twin = this.#options.protections.block ? this.#slots.findRunning(fingerprint) : undefined;
    if (suspicion === Suspicion.Suspect) {
      if (!twin) {
        this.#tryIsolate(waiting, now);
      }
      return;
    }
    // Equal prompts share one engine, so that a poisonous one takes only that engine.
    const slots = twin
      ? [this.#keepIfOpen(twin, waiting.req)].filter((slot) => slot !== undefined)
      : this.#choose(waiting, now);
    if (slots.length > 0) {
      this.#grant(waiting, slots, { isAlone: false, now });
    }
  }

  #keepIfOpen(slot: TrackedEngine, req: AcquireRequest): TrackedEngine | undefined {
    return this.#isOpen(slot, req) && slot.isolatedFor === undefined ? slot : undefined;
  }

  #isOpen(slot: TrackedEngine, req: AcquireRequest): boolean {
    return slot.isOpen(req.model, this.#options.protections.leavingCheck);
  }

  /** Engines for a request, the generating one last; none lets it wait. */
  #choose({ req, entry }: Waiting, now: number): TrackedEngine[] {
    const longPromptTokens = this.#options.getLongPromptTokens();
    const open = this.#slots.getAll().filter((slot) => this.#keepIfOpen(slot, req));
    const fresh = open.filter((slot) => !req.excluded.includes(slot.name));
    const candidates = fresh.length > 0 ? fresh : open;
    if (req.parts > 1) {
      const views = candidates.map((slot) => slot.getView(now, longPromptTokens));
      const group = chooseGroup(req, views);
      return group.flatMap(({ name }) => this.#slots.get(name) ?? []);
    }
    const chosen = this.#options.policy.choose(
      {
        id: req.id,
        promptTokens: req.promptTokens,
        outputTokens: req.outputTokens,
        cachedTokens: this.#options.getCachedTokens(req.prefixBlocks),
        remainingMs: Math.max(0, req.remainingMs - (now - entry.arrivedMs)),
        waitedMs: now - entry.arrivedMs,
      },
      {
        engines: candidates.map((slot) => slot.getView(now, longPromptTokens)),
        longPromptTokens,
      },
    );
    const slot = chosen ? this.#slots.get(chosen.name) : undefined;
    return slot ? [slot] : [];
  }

  /** Empties one engine for a suspect and runs it there alone. */
  #tryIsolate(waiting: Waiting, now: number): void {
    const { req } = waiting;
    const open = this.#slots.getAll().filter((slot) => this.#isOpen(slot, req));
    const slot = this.#slots.chooseIsolationEngine(req.id, open);
    if (!slot) {
      return;
    }
    slot.isolatedFor = req.id;
    if (slot.grants.size === 0) {
      this.#grant(waiting, [slot], { isAlone: true, now });
    }
  }

  #grant(
    waiting: Waiting,
    slots: readonly TrackedEngine[],
    options: { isAlone: boolean; now: number },
  ): void {
    const { req, holder } = waiting;
    const { isAlone, now } = options;
    const cached = this.#options.getCachedTokens(req.prefixBlocks);
    const promptTokens = Math.ceil(req.promptTokens / slots.length);
    for (const slot of slots) {
      const grant: TrackedGrant = {
        ...{ id: req.id, engine: slot.name, promptTokens, outputTokens: req.outputTokens },
        ...{ fingerprint: req.fingerprint, isAlone, holder, renewedMs: now },
        ...{ hasFirstToken: false, isBroken: false },
        remainingPrefillTokens: Math.max(1, promptTokens - (cached[slot.name] ?? 0)),
      };
      slot.add(grant, now);
    }
    const members = slots.map(({ name }) => name);
    const engine = members.at(-1) ?? "";
    this.#options.onGranted?.(req, engine);
    this.#leave(req.id, { result: "granted", id: req.id, engine, members, isAlone });
  }

  #settleGrant(slot: TrackedEngine, grant: TrackedGrant, end: GrantEnd): void {
    slot.grants.delete(grant.id);
    if (slot.isolatedFor === grant.id) {
      slot.isolatedFor = undefined;
    }
    if (end === GrantEnd.Refused) {
      slot.isRejectingWork = true;
    }
    if (end === GrantEnd.Done && grant.isAlone) {
      this.#options.suspects.lift(grant.fingerprint, "survived alone");
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

  /** Takes back grants whose users have fallen silent. */
  #reap(): void {
    const oldestMs = this.#options.clock.now() - GRANT_TERM_MS;
    for (const { slot, grant } of this.#slots.getExpiredGrants(oldestMs)) {
      this.#settleGrant(slot, grant, GrantEnd.Unused);
    }
    this.#dispatch();
  }
}
