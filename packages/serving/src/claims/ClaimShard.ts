import {
  Acceptance,
  ClaimState,
  decideClaim,
  getMessage,
  newClaimEnd,
  parseClaim,
  RecordKind,
  sleep,
  Step,
  type ClaimBody,
  type ClaimRequest,
  type Clock,
  type Draft,
  type FoldedRecord,
  type Protections,
} from "@lycheepulley/core";
import type { Proposer } from "@lycheepulley/log";
import type { ClaimAnswer } from "@lycheepulley/nodes";

const POLL_INTERVAL_MS = 20;

/** Final state of a claim, with the outcome if the request ran. */
export interface ClaimEnd {
  readonly key: string;
  readonly requestId: string;
  readonly state: ClaimBody["state"];
  readonly outcome?: ClaimBody["outcome"];
}

/**
 * Decides on claims for one shard of idempotency keys. Two processes may own a shard at once: the
 * log accepts only one of two conflicting claims.
 */
export class ClaimShard {
  readonly #proposer: Proposer;
  readonly #clock: Clock;
  readonly #protections: Protections;

  constructor(options: { proposer: Proposer; clock: Clock; protections: Protections }) {
    this.#proposer = options.proposer;
    this.#clock = options.clock;
    this.#protections = options.protections;
  }

  get keys(): number {
    return this.#proposer.reader.fold.size;
  }

  /** Claims a key, waiting up to `waitMs` for the log or for a claim in progress. */
  async claim(req: ClaimRequest, waitMs: number): Promise<ClaimAnswer> {
    const untilMs = this.#clock.now() + waitMs;
    try {
      while (this.#clock.now() < untilMs) {
        const answer = await this.#tryClaim(req, untilMs);
        if (answer) {
          return answer;
        }
      }
    } catch (err) {
      return { result: "unavailable", message: getMessage(err) };
    }
    const claim = parseClaim(this.#getRegister(req.key));
    return claim?.state === ClaimState.Claimed
      ? { result: "in_progress", claim }
      : { result: "unavailable", message: "log did not answer in time" };
  }

  /** Ends a claim of `requestId`; true once the log holds an end for it. */
  async end(end: ClaimEnd, waitMs: number): Promise<boolean> {
    const untilMs = this.#clock.now() + waitMs;
    while (this.#clock.now() < untilMs) {
      const register = this.#getRegister(end.key);
      const claim = parseClaim(register);
      if (!register || claim?.requestId !== end.requestId) {
        // The claim may have been appended but not yet read back.
        await sleep(this.#clock, POLL_INTERVAL_MS);
        continue;
      }
      if (claim.state !== ClaimState.Claimed) {
        return true;
      }
      const { state, outcome, key } = end;
      if (state === ClaimState.Claimed) {
        return false;
      }
      const draft = newClaimEnd({
        key,
        version: register.version,
        claim,
        state,
        ...(outcome ? { outcome } : {}),
      });
      await this.#propose(draft, untilMs, Step.OutcomeAppend);
    }
    return false;
  }

  async #tryClaim(req: ClaimRequest, untilMs: number): Promise<ClaimAnswer | undefined> {
    if (!this.#proposer.reader.isCaughtUp) {
      await sleep(this.#clock, POLL_INTERVAL_MS);
      return undefined;
    }
    const register = this.#getRegister(req.key);
    const existing = parseClaim(register);
    if (
      existing?.state === ClaimState.Claimed &&
      existing.requestId === req.requestId &&
      existing.holder === req.holder &&
      register
    ) {
      return { result: "granted", version: register.version, claim: existing };
    }
    const decision = decideClaim(register, req, this.#clock.wall());
    switch (decision.action) {
      case "refuse_body":
        return { result: "refused_body" };
      case "replay":
        return { result: "replay", claim: decision.claim };
      case "join":
        await sleep(this.#clock, POLL_INTERVAL_MS);
        return undefined;
      case "expire":
        await this.#propose(decision.draft, untilMs, Step.ClaimAppend);
        return undefined;
      case "claim":
        return this.#propose(decision.draft, untilMs, Step.ClaimAppend).then(toGranted);
    }
  }

  async #propose(draft: Draft, untilMs: number, step: Step): Promise<FoldedRecord> {
    const timeoutMs = Math.max(1, untilMs - this.#clock.now());
    if (!this.#protections.readBack) {
      return this.#appendWithoutReadBack(draft);
    }
    return this.#proposer.propose(draft, { timeoutMs, step });
  }

  /**
   * Appends without reading back and takes the record for accepted; only with that protection off.
   */
  async #appendWithoutReadBack(draft: Draft): Promise<FoldedRecord> {
    const submission = this.#proposer.writer.submit(draft);
    const seq = await submission.seq;
    const record = { v: 1, ...draft, writer: "", seq };
    const register = {
      ...{ kind: draft.kind, key: draft.key, body: draft.body, writer: "" },
      ...{ version: (draft.follows ?? 0) + 1, offset: 0, timeMs: 0 },
    };
    return { offset: 0, timeMs: 0, record, acceptance: Acceptance.Accepted, register };
  }

  #getRegister(key: string): ReturnType<Proposer["reader"]["fold"]["getRegister"]> {
    return this.#proposer.reader.fold.getRegister(RecordKind.Claim, key);
  }
}

const toGranted = (folded: FoldedRecord): ClaimAnswer | undefined => {
  const claim = parseClaim(folded.register);
  return folded.acceptance === Acceptance.Accepted && folded.register && claim
    ? { result: "granted", version: folded.register.version, claim }
    : undefined;
};
