import {
  Acceptance,
  getMessage,
  isLeaseFree,
  LeaseAction,
  newLeaseClaim,
  newLeaseUpdate,
  parseLease,
  rankMembers,
  RecordKind,
  Step,
  type Clock,
  type FoldedRecord,
  type LeaseBody,
  type Protections,
  type Register,
} from "@lycheepulley/core";
import type { Proposer } from "@lycheepulley/log";

import type { MemberDirectory } from "../membership/MemberDirectory.js";

/** How long a lease is valid after its claim or renewal was sent. */
export const LEASE_TERM_MS = 6_000;
const RENEW_AFTER_MS = 3_000;
const CHECK_INTERVAL_MS = 500;
/**
 * A process that has just started waits this long for news of the other members before it claims
 * leases.
 */
const START_DELAY_MS = 3_000;
const PROPOSAL_TIMEOUT_MS = 2_500;
/** A holder stops acting this long before its lease expires. */
const SAFETY_MARGIN_MS = 500;

export interface LeaseManagerOptions {
  readonly duty: string;
  readonly proposer: Proposer;
  readonly members: MemberDirectory;
  readonly clock: Clock;
  /** Process name and incarnation. */
  readonly holder: string;
  readonly protections: Protections;
  readonly onError?: (message: string) => void;
}

/** Claims the lease of one duty, renews it while held, and releases it. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  /** Monotonic time at which the last accepted record of the lease was read. */
  #lastRecordMs: number;
  /** Monotonic time just before the last accepted claim or renewal of this process was sent. */
  #sentMs = -Infinity;
  readonly #claimsFromMs: number;
  #isProposing = false;
  #isStopped = false;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#lastRecordMs = options.clock.now();
    this.#claimsFromMs = options.clock.now() + START_DELAY_MS;
    options.proposer.reader.subscribe((folded) => {
      this.#onFolded(folded);
    });
    this.#scheduleCheck();
  }

  get duty(): string {
    return this.#options.duty;
  }

  /** Fencing token of the lease; undefined unless this process holds it now. */
  get epoch(): number | undefined {
    const lease = this.#lease;
    const isOwn = lease?.holder === this.#options.holder && lease.action !== LeaseAction.Release;
    if (!isOwn) {
      return undefined;
    }
    const endMs = this.#sentMs + LEASE_TERM_MS - SAFETY_MARGIN_MS;
    const isValid = this.#options.clock.now() < endMs;
    return isValid || !this.#options.protections.fencing ? lease.epoch : undefined;
  }

  /** Releases the lease and stops claiming it. */
  async release(): Promise<void> {
    this.#isStopped = true;
    const register = this.#register;
    const lease = this.#lease;
    if (register && lease && this.epoch !== undefined) {
      await this.#propose(newLeaseUpdate(register, lease, LeaseAction.Release)).catch(
        () => undefined,
      );
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  get #register(): Register | undefined {
    const { proposer, duty } = this.#options;
    return proposer.reader.fold.getRegister(RecordKind.Lease, duty);
  }

  get #lease(): LeaseBody | undefined {
    return parseLease(this.#register);
  }

  #onFolded({ record, acceptance }: FoldedRecord): void {
    const isDuty = record.kind === RecordKind.Lease && record.key === this.#options.duty;
    if (isDuty && acceptance === Acceptance.Accepted) {
      this.#lastRecordMs = this.#options.clock.now();
    }
  }

  #scheduleCheck(): void {
    this.#options.clock.setTimer(() => {
      if (!this.#isStopped) {
        void this.#check();
        this.#scheduleCheck();
      }
    }, CHECK_INTERVAL_MS);
  }

  async #check(): Promise<void> {
    const { proposer, holder, onError } = this.#options;
    if (this.#isProposing || !proposer.reader.isCaughtUp) {
      return;
    }
    this.#isProposing = true;
    try {
      if (this.#lease?.holder === holder && !isLeaseFree(this.#register)) {
        await this.#renew(this.#lease);
      } else if (this.#mayClaim()) {
        await this.#claim();
      }
    } catch (err) {
      onError?.(`${Step.LeaseRenewal} ${this.duty}: ${getMessage(err)}`);
    } finally {
      this.#isProposing = false;
    }
  }

  /**
   * Tells whether to claim the lease: it is free or expired, and this process ranks first among the
   * live ones.
   */
  #mayClaim(): boolean {
    const { members, clock, duty } = this.#options;
    const isFree = isLeaseFree(this.#register);
    const isExpired = clock.now() - this.#lastRecordMs > LEASE_TERM_MS;
    const [first] = rankMembers(`duty/${duty}`, members.getLive());
    const isStartDelayOver = clock.now() >= this.#claimsFromMs;
    return isStartDelayOver && (isFree || isExpired) && first === members.self;
  }

  async #renew(lease: LeaseBody): Promise<void> {
    const { clock } = this.#options;
    const register = this.#register;
    if (register && clock.now() - this.#sentMs >= RENEW_AFTER_MS) {
      await this.#propose(newLeaseUpdate(register, lease, LeaseAction.Renew));
    }
  }

  async #claim(): Promise<void> {
    const { duty, holder } = this.#options;
    const register = this.#register;
    await this.#propose(newLeaseClaim({ duty, register, holder, termMs: LEASE_TERM_MS }));
  }

  async #propose(draft: ReturnType<typeof newLeaseClaim>): Promise<void> {
    const { proposer, clock } = this.#options;
    const sentMs = clock.now();
    const folded = await proposer.propose(draft, {
      timeoutMs: PROPOSAL_TIMEOUT_MS,
      step: Step.LeaseClaim,
    });
    if (folded.acceptance === Acceptance.Accepted) {
      this.#sentMs = sentMs;
    }
  }
}
