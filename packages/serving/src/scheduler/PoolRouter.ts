import { PulleyError, sleep, Step, Verdict, type Clock } from "@lycheepulley/core";
import { isUnsent, type RpcRegistrar } from "@lycheepulley/nodes";

import type { MemberDirectory } from "../membership/MemberDirectory.js";
import { abandonMethod, acquireMethod, releaseMethod, renewMethod } from "./methods.js";
import type { PoolHost } from "./PoolHost.js";
import {
  GrantEnd,
  RejectionCode,
  type AcquireAnswer,
  type AcquireRequest,
  type HeldGrant,
} from "./types.js";

const RENEW_INTERVAL_MS = 1_000;
const OWNER_RETRY_INTERVAL_MS = 50;
const RPC_TIMEOUT_MARGIN_MS = 500;
const HTTP_TOO_MANY = 429;
const HTTP_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;
const HTTP_BLOCKED = 422;

type GrantedAnswer = Extract<AcquireAnswer, { result: "granted" }>;

/** A grant of an engine, or of a group of them, held until it is released. */
export class Grant {
  readonly id: string;
  readonly engine: string;
  /** Engines that hold the prompt's parts in order; the last one generates the answer. */
  readonly members: readonly string[];
  readonly isAlone: boolean;
  readonly #release: (end: GrantEnd) => Promise<void>;
  readonly #isStale: () => boolean;
  readonly #held: readonly HeldGrant[];

  constructor(
    answer: GrantedAnswer,
    held: readonly HeldGrant[],
    options: { release: (end: GrantEnd) => Promise<void>; isStale: () => boolean },
  ) {
    this.id = answer.id;
    this.engine = answer.engine;
    this.members = answer.members;
    this.isAlone = answer.isAlone;
    this.#held = held;
    this.#release = options.release;
    this.#isStale = options.isStale;
  }

  /** The grant as renewals report it to the owner, one entry for each engine. */
  get held(): readonly HeldGrant[] {
    return this.#held;
  }

  /**
   * True when the process was paused after it asked for the grant, which may have expired since.
   */
  get isStale(): boolean {
    return this.#isStale();
  }

  /** Notes that the prefill is done. */
  noteFirstToken(): void {
    this.#held.forEach((held) => {
      held.hasFirstToken = true;
    });
  }

  release(end: GrantEnd): Promise<void> {
    return this.#release(end);
  }
}

/** Sends requests for grants to the process that owns the pool, and renews the grants held here. */
export class PoolRouter {
  readonly #members: MemberDirectory;
  readonly #clock: Clock;
  readonly #host: PoolHost;
  readonly #holder: string;
  readonly #hasPausedSince: (ms: number) => boolean;
  readonly #held = new Map<string, { pool: string; owner: string; grant: Grant }>();
  #isClosed = false;

  constructor(options: {
    members: MemberDirectory;
    clock: Clock;
    host: PoolHost;
    holder: string;
    hasPausedSince: (ms: number) => boolean;
  }) {
    this.#hasPausedSince = options.hasPausedSince;
    this.#members = options.members;
    this.#clock = options.clock;
    this.#host = options.host;
    this.#holder = options.holder;
    this.#scheduleRenewal();
  }

  /** Registers the handlers for other processes' calls about pools that this one owns. */
  serve(server: RpcRegistrar): void {
    server.handle(acquireMethod, ({ req, holder }) =>
      this.#host.getScheduler(req.pool).acquire(req, holder),
    );
    server.handle(releaseMethod, ({ pool, id, end }) => {
      this.#host.getScheduler(pool).release(id, end);
      return {};
    });
    server.handle(abandonMethod, ({ pool, id }) => {
      this.#host.getScheduler(pool).abandon(id);
      return {};
    });
    server.handle(renewMethod, ({ pool, holder, held }) => {
      this.#host.getScheduler(pool).renew(holder, held);
      return {};
    });
  }

  /** Waits for a grant; a rejection is thrown as a {@link PulleyError}. */
  async acquire(req: AcquireRequest, signal: AbortSignal): Promise<Grant> {
    const startMs = this.#clock.now();
    for (;;) {
      const elapsedMs = this.#clock.now() - startMs;
      const remainingMs = req.remainingMs - elapsedMs;
      if (remainingMs <= 0 || signal.aborted) {
        throw newRejectionError({
          result: "refused",
          code: RejectionCode.Timeout,
          message: "no engine was free within the class's time",
          retryAfterMs: 0,
        });
      }
      const owner = this.#host.getOwner(req.pool);
      const pending = { ...req, remainingMs, waitedMs: req.waitedMs + elapsedMs };
      const askedMs = this.#clock.now();
      const answer = await this.#acquireFrom(owner, pending, signal);
      if (answer?.result === "granted") {
        const grant = this.#newGrant(req, { answer, owner, askedMs });
        if (!grant.isStale) {
          return grant;
        }
        await grant.release(GrantEnd.Unused);
        continue;
      }
      if (answer) {
        throw newRejectionError(answer);
      }
      await sleep(this.#clock, OWNER_RETRY_INTERVAL_MS, signal);
    }
  }

  close(): void {
    this.#isClosed = true;
  }

  /** Asks the owner for a grant; undefined when the call failed or its address is unknown. */
  async #acquireFrom(
    owner: string,
    req: AcquireRequest,
    signal: AbortSignal,
  ): Promise<AcquireAnswer | undefined> {
    const abandon = (): void => {
      this.#abandon(owner, req);
    };
    signal.addEventListener("abort", abandon);
    try {
      if (owner === this.#members.self) {
        return await this.#host.getScheduler(req.pool).acquire(req, this.#holder);
      }
      const client = this.#members.getClient(owner);
      return await client?.call(
        acquireMethod,
        { req, holder: this.#holder },
        { timeoutMs: req.remainingMs + RPC_TIMEOUT_MARGIN_MS },
      );
    } catch (err) {
      this.#members.noteFailure(owner);
      if (!isUnsent(err)) {
        abandon();
      }
      return undefined;
    } finally {
      signal.removeEventListener("abort", abandon);
    }
  }

  #abandon(owner: string, { pool, id }: AcquireRequest): void {
    if (owner === this.#members.self) {
      this.#host.getScheduler(pool).abandon(id);
      return;
    }
    this.#members
      .getClient(owner)
      ?.call(abandonMethod, { pool, id })
      .catch(() => undefined);
  }

  #newGrant(
    req: AcquireRequest,
    details: {
      answer: GrantedAnswer;
      owner: string;
      askedMs: number;
    },
  ): Grant {
    const { answer, owner, askedMs } = details;
    const held = answer.members.map((engine): HeldGrant => ({
      id: answer.id,
      engine,
      promptTokens: Math.ceil(req.promptTokens / answer.members.length),
      outputTokens: req.outputTokens,
      fingerprint: req.fingerprint,
      isAlone: answer.isAlone,
      hasFirstToken: false,
    }));
    const grant = new Grant(answer, held, {
      release: (end) => this.#release(req.pool, answer.id, end),
      isStale: () => this.#hasPausedSince(askedMs),
    });
    this.#held.set(answer.id, { pool: req.pool, owner, grant });
    return grant;
  }

  async #release(pool: string, id: string, end: GrantEnd): Promise<void> {
    const held = this.#held.get(id);
    this.#held.delete(id);
    if (!held) {
      return;
    }
    const owners = new Set([held.owner, this.#host.getOwner(pool)]);
    for (const owner of owners) {
      await this.#releaseAt(owner, pool, id, end);
    }
  }

  async #releaseAt(owner: string, pool: string, id: string, end: GrantEnd): Promise<void> {
    if (owner === this.#members.self) {
      this.#host.getScheduler(pool).release(id, end);
      return;
    }
    try {
      await this.#members.getClient(owner)?.call(releaseMethod, { pool, id, end });
    } catch {
      // The owner revokes a grant that is no longer renewed.
      this.#members.noteFailure(owner);
    }
  }

  #scheduleRenewal(): void {
    this.#clock.setTimer(() => {
      if (this.#isClosed) {
        return;
      }
      this.#renewAll();
      this.#scheduleRenewal();
    }, RENEW_INTERVAL_MS);
  }

  #renewAll(): void {
    const byPool = new Map<string, HeldGrant[]>();
    for (const { pool, grant } of this.#held.values()) {
      byPool.set(pool, [...(byPool.get(pool) ?? []), ...grant.held]);
    }
    for (const [pool, held] of byPool) {
      const owner = this.#host.getOwner(pool);
      if (owner === this.#members.self) {
        this.#host.getScheduler(pool).renew(this.#holder, held);
      } else {
        this.#members
          .getClient(owner)
          ?.call(renewMethod, { pool, holder: this.#holder, held })
          .catch(() => {
            this.#members.noteFailure(owner);
          });
      }
    }
  }
}

const STATUS_BY_CODE: Readonly<Record<RejectionCode, number>> = {
  [RejectionCode.Overloaded]: HTTP_TOO_MANY,
  [RejectionCode.TooLarge]: HTTP_TOO_LARGE,
  [RejectionCode.Timeout]: HTTP_UNAVAILABLE,
  [RejectionCode.Blocked]: HTTP_BLOCKED,
  [RejectionCode.NoEngine]: HTTP_UNAVAILABLE,
};

const newRejectionError = (answer: Extract<AcquireAnswer, { result: "refused" }>): PulleyError =>
  new PulleyError(answer.message, {
    code: answer.code,
    step: answer.code === RejectionCode.Timeout ? Step.Queue : Step.Admit,
    verdict: answer.retryAfterMs > 0 ? Verdict.RefusedUntil : Verdict.NotRun,
    status: STATUS_BY_CODE[answer.code],
    ...(answer.retryAfterMs > 0 ? { retryAfterMs: answer.retryAfterMs } : {}),
  });
