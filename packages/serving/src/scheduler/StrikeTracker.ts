import {
  Acceptance,
  findStrikes,
  getSuspicion,
  PoisonAction,
  poisonBodySchema,
  poisonStateSchema,
  RecordKind,
  type Bystander,
  type Draft,
  type FoldedRecord,
  type RegisterFold,
  Suspicion,
} from "@lycheepulley/core";
import type { z } from "zod";

/** Strikes against fingerprints: those on the log and those not yet read back. */
export class StrikeTracker {
  readonly #fold: RegisterFold;
  readonly #submit: (draft: Draft) => void;
  readonly #isEnabled: boolean;
  /** Strikes that this process gave and may not have read back. */
  readonly #own = new Map<string, number>();

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
    const agreed = poisonStateSchema.safeParse(body).data?.strikes ?? 0;
    return Math.max(agreed, this.#own.get(fingerprint) ?? 0);
  }

  /** Strikes those that were on an upstream when it died; returns whom. */
  onDeath(upstream: string, bystanders: readonly (Bystander & { requestId: string })[]): string[] {
    const struck = findStrikes(bystanders, (fingerprint) => this.getStrikes(fingerprint));
    for (const fingerprint of struck) {
      this.#own.set(fingerprint, this.getStrikes(fingerprint) + 1);
      const requestId = bystanders.find((b) => b.fingerprint === fingerprint)?.requestId;
      this.#append(fingerprint, { action: PoisonAction.Strike, by: upstream, requestId });
    }
    return struck;
  }

  /** Takes back the strikes of a death that did not happen. */
  onFalseDeath(upstream: string, struck: readonly string[]): void {
    for (const fingerprint of struck) {
      const strikes = this.getStrikes(fingerprint) - 1;
      this.#own.set(fingerprint, Math.max(0, strikes));
      this.#append(fingerprint, { action: PoisonAction.Withdraw, by: upstream });
    }
  }

  /** Clears a fingerprint that survived alone, or whose block an operator lifted. */
  lift(fingerprint: string, by: string): void {
    if (this.getStrikes(fingerprint) === 0) {
      return;
    }
    this.#own.delete(fingerprint);
    this.#append(fingerprint, { action: PoisonAction.Lift, by });
  }

  /** Takes a lift that another process or an operator recorded. */
  onFolded({ record, acceptance }: FoldedRecord): void {
    const body = poisonBodySchema.safeParse(record.body).data;
    const isLift = record.kind === RecordKind.Poison && body?.action === PoisonAction.Lift;
    if (isLift && acceptance === Acceptance.Accepted) {
      this.#own.delete(record.key);
    }
  }

  #append(fingerprint: string, body: z.infer<typeof poisonBodySchema>): void {
    this.#submit({ kind: RecordKind.Poison, key: fingerprint, follows: null, body });
  }
}
