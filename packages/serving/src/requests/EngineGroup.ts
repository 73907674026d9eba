import { PeerError, type Cancel, type Clock } from "@lycheepulley/core";
import type { EngineClient } from "@lycheepulley/engines";

const TERM_MS = 10_000;
const RENEW_MS = 3_000;

/** A prompt that is larger than one engine's memory. */
export interface GroupCall {
  /** Attempt, which names the reservations too. */
  readonly attemptId: string;
  /** Process and incarnation that answers for the memory. */
  readonly owner: string;
  readonly body: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Engines that compute one long prompt in parts and keep its KV together. */
export class EngineGroup {
  readonly #members: readonly EngineClient[];
  readonly #clock: Clock;
  readonly #call: GroupCall;
  #cancelRenewal: Cancel = () => undefined;

  constructor(options: { members: readonly EngineClient[]; clock: Clock; call: GroupCall }) {
    this.#members = options.members;
    this.#clock = options.clock;
    this.#call = options.call;
  }

  /**
   * Reserves memory on every member or on none, computes all parts but the
   * last, and returns the exports that the last member attaches.
   */
  async prepare(): Promise<string[]> {
    await this.#reserveAll();
    this.#scheduleRenewal();
    const { attemptId, body, promptTokens, priority, timeoutMs, signal } = this.#call;
    const partTokens = Math.ceil(promptTokens / this.#members.length);
    const segments: string[] = [];
    for (const [i, member] of this.#members.slice(0, -1).entries()) {
      const handle = await member.exportSegment({
        reservationId: attemptId,
        fromToken: i * partTokens,
        toToken: (i + 1) * partTokens,
        segments: [...segments],
        ...{ body, priority, timeoutMs, signal },
      });
      segments.push(handle);
    }
    return segments;
  }

  /** Frees what the group holds; engines free the rest when its term ends. */
  async release(): Promise<void> {
    this.#cancelRenewal();
    await Promise.all(
      this.#members.map((member) => member.releaseKv(this.#call.attemptId).catch(() => undefined)),
    );
  }

  async #reserveAll(): Promise<void> {
    const { attemptId, owner, promptTokens, outputTokens } = this.#call;
    const tokens = Math.ceil(promptTokens / this.#members.length) + outputTokens;
    for (const member of this.#members) {
      const isReserved = await member.reserveKv({ id: attemptId, owner, tokens, termMs: TERM_MS });
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
        void member.renewKv(this.#call.attemptId, TERM_MS).catch(() => undefined);
      });
      this.#scheduleRenewal();
    }, RENEW_MS);
  }
}
