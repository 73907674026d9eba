import {
  getMessage,
  nextInt,
  rankMembers,
  sha256,
  sleep,
  type ClaimRequest,
  type Clock,
  type Random,
} from "@lycheepulley/core";
import { claimEndMethod, claimMethod, type ClaimAnswer } from "@lycheepulley/nodes";

import type { MemberDirectory } from "../membership/MemberDirectory.js";
import type { ClaimEnd, ClaimShard } from "./ClaimShard.js";

const CLAIM_RETRY_INTERVAL_MS = 50;
const RPC_TIMEOUT_MARGIN_MS = 250;
const END_TIMEOUT_MS = 1_000;
const END_RETRY_INTERVAL_MS = 500;
const MAX_END_ATTEMPTS = 20;

/** Sends claims to the process that owns their shard. */
export class ClaimRouter {
  readonly #members: MemberDirectory;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #getShard: (shard: number) => ClaimShard;
  readonly #getShardCount: () => number;

  constructor(options: {
    members: MemberDirectory;
    clock: Clock;
    random: Random;
    getShard: (shard: number) => ClaimShard;
    getShardCount: () => number;
  }) {
    this.#members = options.members;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#getShard = options.getShard;
    this.#getShardCount = options.getShardCount;
  }

  /** Claims a key for a request, which may be dispatched only if the answer is "granted". */
  async claim(req: ClaimRequest, waitMs: number): Promise<ClaimAnswer> {
    const untilMs = this.#clock.now() + waitMs;
    let answer: ClaimAnswer = { result: "unavailable", message: "no live owner" };
    while (this.#clock.now() < untilMs) {
      answer = await this.#askOwner(req, untilMs - this.#clock.now());
      if (answer.result !== "unavailable") {
        return answer;
      }
      await sleep(
        this.#clock,
        CLAIM_RETRY_INTERVAL_MS + nextInt(this.#random, CLAIM_RETRY_INTERVAL_MS),
      );
    }
    return answer;
  }

  /** Ends a claim of this process; false when the log didn't confirm it in time. */
  async end(end: ClaimEnd, waitMs: number): Promise<boolean> {
    const { shard, owner } = this.#findOwner(end.key);
    try {
      if (owner === this.#members.self) {
        return await this.#getShard(shard).end(end, waitMs);
      }
      const client = this.#members.getClient(owner);
      const answer = await client?.call(
        claimEndMethod,
        { shard, waitMs, ...end, outcome: end.outcome },
        { timeoutMs: waitMs + RPC_TIMEOUT_MARGIN_MS },
      );
      return answer?.done ?? false;
    } catch {
      this.#members.noteFailure(owner);
      return false;
    }
  }

  /** Ends a claim in the background, with a limited number of retries until the log confirms it. */
  async endWithRetries(end: ClaimEnd): Promise<void> {
    for (let i = 0; i < MAX_END_ATTEMPTS; i += 1) {
      if (await this.end(end, END_TIMEOUT_MS)) {
        return;
      }
      await sleep(this.#clock, END_RETRY_INTERVAL_MS);
    }
  }

  #findOwner(key: string): { shard: number; owner: string } {
    const shard = parseInt(sha256(key).slice(0, 8), 16) % this.#getShardCount();
    const [owner] = rankMembers(`claims/${String(shard)}`, this.#members.getLive());
    return { shard, owner: owner ?? this.#members.self };
  }

  async #askOwner(request: ClaimRequest, waitMs: number): Promise<ClaimAnswer> {
    const { shard, owner } = this.#findOwner(request.key);
    try {
      if (owner === this.#members.self) {
        return await this.#getShard(shard).claim(request, waitMs);
      }
      const client = this.#members.getClient(owner);
      if (!client) {
        return { result: "unavailable", message: `no address for ${owner}` };
      }
      return await client.call(
        claimMethod,
        { shard, request, waitMs },
        { timeoutMs: waitMs + RPC_TIMEOUT_MARGIN_MS },
      );
    } catch (err) {
      this.#members.noteFailure(owner);
      return { result: "unavailable", message: getMessage(err) };
    }
  }
}
