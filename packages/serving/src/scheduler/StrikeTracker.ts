import {
  Acceptance,
  findFingerprintsToStrike,
  getSuspicion,
  PoisonAction,
  poisonBodySchema,
  poisonStateSchema,
  RecordKind,
  type RequestAtCrash,
  type Draft,
  type FoldedRecord,
  type RegisterFold,
  Suspicion,
} from "@lycheepulley/core";
import type { z } from "zod";

/**
 * Counts the strikes against prompt fingerprints: the strikes on the log and those that this
 * process has appended but not yet read back. Enough strikes make a prompt suspect, then blocked.
 */
export class StrikeTracker {
  readonly #fold: RegisterFold;
  readonly #submit: (draft: Draft) => void;
  readonly #isEnabled: boolean;
  /** Counts as this process last changed them, which the log may not show yet. */
  readonly #localStrikes = new Map<string, number>();

  constructor(options: { fold: RegisterFold; submit: (draft: Draft) => void; isEnabled: boolean }) {
    this.#fold = options.fold;
    this.#submit = options.submit;
    this.#isEnabled = options.isEnabled;
  }

  getSuspicion(fingerprint: string): Suspicion {
    return this.#isEnabled ? getSuspicion(this.getStrikes(fingerprint)) : Suspicion.None;
  }

  getStrikes(fingerprint: string): number {
    const body = this.#fold.getRegister(RecordKind.Poison, fingerprint)?.body;
    const loggedStrikes = poisonStateSchema.safeParse(body).data?.strikes ?? 0;
    return Math.max(loggedStrikes, this.#localStrikes.get(fingerprint) ?? 0);
  }

  /** Adds strikes for the death of an upstream and returns the fingerprints that got one. */
  onDeath(
    upstream: string,
    requestsAtCrash: readonly (RequestAtCrash & { requestId: string })[],
  ): string[] {
    const struck = findFingerprintsToStrike(requestsAtCrash, (fingerprint) =>
      this.getStrikes(fingerprint),
    );
    for (const fingerprint of struck) {
      this.#localStrikes.set(fingerprint, this.getStrikes(fingerprint) + 1);
      const requestId = requestsAtCrash.find((b) => b.fingerprint === fingerprint)?.requestId;
      this.#append(fingerprint, { action: PoisonAction.Strike, by: upstream, requestId });
    }
    return struck;
  }

  /** Withdraws the strikes of an upstream that turned out to be alive. */
  onFalseDeath(upstream: string, struck: readonly string[]): void {
    for (const fingerprint of struck) {
      const strikes = this.getStrikes(fingerprint) - 1;
      this.#localStrikes.set(fingerprint, Math.max(0, strikes));
      this.#append(fingerprint, { action: PoisonAction.Withdraw, by: upstream });
    }
  }

  /**
   * Clears the strikes of a fingerprint that finished in isolation, or that an operator unblocked.
   */
  lift(fingerprint: string, by: string): void {
    if (this.getStrikes(fingerprint) === 0) {
      return;
    }
    this.#localStrikes.delete(fingerprint);
    this.#append(fingerprint, { action: PoisonAction.Lift, by });
  }

  /** Drops the local count once a lift by another process or an operator is accepted on the log. */
  onFolded({ record, acceptance }: FoldedRecord): void {
    const body = poisonBodySchema.safeParse(record.body).data;
    const isLift = record.kind === RecordKind.Poison && body?.action === PoisonAction.Lift;
    if (isLift && acceptance === Acceptance.Accepted) {
      this.#localStrikes.delete(record.key);
    }
  }

  #append(fingerprint: string, body: z.infer<typeof poisonBodySchema>): void {
    this.#submit({ kind: RecordKind.Poison, key: fingerprint, follows: null, body });
  }
}
