import { isPeerError, PeerError, type Cancel, type Clock } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";

import { mayHaveReached } from "./reach.js";

const RESERVATION_TERM_MS = 10_000;
const RESERVATION_RENEW_INTERVAL_MS = 3_000;
const HTTP_NOT_FOUND = 404;
/** Error code of a group whose memory on an engine has lapsed. */
export const RESERVATION_LOST_CODE = "reservation_lost";

/** A prompt that doesn't fit into the KV memory of one engine. */
export interface GroupCall {
  /** Id of the attempt, and of its reservation on each engine. */
  readonly attemptId: string;
  /** Name and incarnation of the process that owns the reservations. */
  readonly owner: string;
  readonly body: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Called when all memory is reserved and nothing is sent yet; the call ends when it throws. */
  readonly onReserved?: () => void;
  /** Called when an engine has, or may have, started to prefill a part. */
  readonly onReach: () => void;
}

/** Engines that prefill one long prompt in parts and together hold its KV cache. */
export class EngineGroup {
  /** Aborts with the call, and once a member no longer holds the memory. */
  readonly signal: AbortSignal;
  readonly #members: readonly EngineClient[];
  readonly #clock: Clock;
  readonly #call: GroupCall;
  readonly #abort = new AbortController();
  /** Time before the last accepted renewal of each member was sent. */
  readonly #renewedMs = new Map<EngineClient, number>();
  #cancelRenewal: Cancel = () => undefined;
  #isPrepared = false;
  #isReleased = false;
  #lossError: PeerError | undefined;

  constructor(options: { members: readonly EngineClient[]; clock: Clock; call: GroupCall }) {
    this.#members = options.members;
    this.#clock = options.clock;
    this.#call = options.call;
    this.signal = AbortSignal.any([options.call.signal, this.#abort.signal]);
  }

  /** Error to report when a member no longer holds the memory. */
  get lossError(): PeerError | undefined {
    return this.#lossError;
  }

  /**
   * Reserves KV memory on every member, prefills all parts but the last in
   * order, and returns the exported segments that the last member attaches.
   * Throws when a member has no memory; `release` frees what was reserved.
   */
  async prepare(): Promise<string[]> {
    await this.#reserveAll();
    this.#call.onReserved?.();
    this.#scheduleRenewal();
    const { promptTokens } = this.#call;
    const partTokens = Math.ceil(promptTokens / this.#members.length);
    const segments: string[] = [];
    for (const [i, member] of this.#members.slice(0, -1).entries()) {
      const part = { fromToken: i * partTokens, toToken: (i + 1) * partTokens };
      segments.push(await this.#exportPart(member, part, [...segments]));
    }
    this.#isPrepared = true;
    return segments;
  }

  /** Releases the reservations; an engine that isn't reached frees its own when the term ends. */
  async release(): Promise<void> {
    this.#isReleased = true;
    this.#cancelRenewal();
    await Promise.all(
      this.#members.map((member) => member.releaseKv(this.#call.attemptId).catch(() => undefined)),
    );
  }

  async #exportPart(
    member: EngineClient,
    part: { readonly fromToken: number; readonly toToken: number },
    segments: readonly string[],
  ): Promise<string> {
    const { attemptId, body, priority, timeoutMs, onReach } = this.#call;
    const call = { ...part, segments, body, priority, timeoutMs, signal: this.signal };
    try {
      const handle = await member.exportSegment({ reservationId: attemptId, ...call });
      onReach();
      return handle;
    } catch (err) {
      if (mayHaveReached(err)) {
        onReach();
      }
      throw err;
    }
  }

  async #reserveAll(): Promise<void> {
    const { attemptId, owner, promptTokens, outputTokens } = this.#call;
    const tokens = Math.ceil(promptTokens / this.#members.length) + outputTokens;
    for (const member of this.#members) {
      this.#renewedMs.set(member, this.#clock.now());
      const isReserved = await member.reserveKv({
        id: attemptId,
        owner,
        tokens,
        termMs: RESERVATION_TERM_MS,
      });
      if (!isReserved) {
        throw new PeerError(member.name, "no memory for a part of the prompt", {
          sent: false,
          code: "no_memory",
        });
      }
    }
  }

  #scheduleRenewal(): void {
    this.#cancelRenewal = this.#clock.setTimer(() => {
      this.#members.forEach((member) => {
        void this.#renew(member);
      });
      this.#scheduleRenewal();
    }, RESERVATION_RENEW_INTERVAL_MS);
  }
  async #renew(member: EngineClient): Promise<void> {
    const sentMs = this.#clock.now();
    try {
      await member.renewKv(this.#call.attemptId, RESERVATION_TERM_MS);
      this.#renewedMs.set(member, sentMs);
    } catch (err) {
      const ageMs = this.#clock.now() - (this.#renewedMs.get(member) ?? 0);
      const isUnknown = isPeerError(err) && err.status === HTTP_NOT_FOUND;
      if (
        !this.#isReleased &&
        !this.#isInUse(member) &&
        (isUnknown || ageMs >= RESERVATION_TERM_MS)
      ) {
        this.#lose(member, err);
      }
    }
  }

  /** The last member takes its reservation over for the answer, and may then not know it by its id. */
  #isInUse(member: EngineClient): boolean {
    return this.#isPrepared && member === this.#members.at(-1);
  }

  #lose(member: EngineClient, cause: unknown): void {
    const message = "no longer holds the memory for a part of the prompt";
    this.#lossError ??= new PeerError(member.name, message, {
      sent: true,
      code: RESERVATION_LOST_CODE,
      cause,
    });
    this.#abort.abort();
  }
}
