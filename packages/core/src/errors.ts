/** Steps of a request or control action at which an error can occur. */
export const Step = {
  Accept: "accept",
  Classify: "classify",
  Admit: "admit",
  Queue: "queue",
  ClaimAppend: "claim_append",
  ClaimReadBack: "claim_read_back",
  Reserve: "reserve",
  Connect: "connect",
  Send: "send",
  FirstToken: "first_token",
  Stream: "stream",
  LastChunk: "last_chunk",
  OutcomeAppend: "outcome_append",
  Reply: "reply",
  LeaseClaim: "lease_claim",
  LeaseRenewal: "lease_renewal",
  Order: "order",
  ConfigCheck: "config_check",
  ConfigPublish: "config_publish",
  ConfigReadBack: "config_read_back",
  LogRead: "log_read",
  LogAppend: "log_append",
  Membership: "membership",
  Fate: "fate",
} as const;
export type Step = (typeof Step)[keyof typeof Step];

/** What an error tells the caller about whether the request ran. */
export const Verdict = {
  /** The request did not run and will not run. */
  NotRun: "not_run",
  /** The request failed after bytes reached an upstream; it may have run. */
  MayHaveRun: "failed_may_have_run",
  /** The request did not run; it can be retried at the stated time. */
  RefusedUntil: "refused_until",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Options of a {@link PulleyError}. */
export interface PulleyErrorOptions {
  readonly code: string;
  readonly step: Step;
  readonly verdict: Verdict;
  /** Name of the peer at which the error occurred; "self" for this process. */
  readonly peer?: string;
  readonly status?: number;
  readonly retryAfterMs?: number;
  /** Name of the invalid input field. */
  readonly param?: string;
  readonly cause?: unknown;
}

/** Error with the step and the peer at which it occurred. */
export class PulleyError extends Error {
  readonly code: string;
  readonly step: Step;
  readonly verdict: Verdict;
  readonly peer: string;
  readonly status: number;
  readonly retryAfterMs: number | undefined;
  readonly param: string | undefined;

  constructor(message: string, options: PulleyErrorOptions) {
    super(message, { cause: options.cause });
    this.name = "PulleyError";
    this.code = options.code;
    this.step = options.step;
    this.verdict = options.verdict;
    this.peer = options.peer ?? "self";
    this.status = options.status ?? 503;
    this.retryAfterMs = options.retryAfterMs;
    this.param = options.param;
  }
}

/** A call to a peer failed, or its response can't be used. */
export class PeerError extends Error {
  constructor(
    readonly peer: string,
    message: string,
    readonly options: {
      /** True once any byte of the call may have reached the peer. */
      readonly sent: boolean;
      readonly status?: number;
      readonly code?: string;
      readonly cause?: unknown;
    },
  ) {
    super(`${peer}: ${message}`, { cause: options.cause });
    this.name = "PeerError";
  }

  /** True once any byte of the call may have reached the peer. */
  get sent(): boolean {
    return this.options.sent;
  }

  /** HTTP status of the peer's response, if there was one. */
  get status(): number | undefined {
    return this.options.status;
  }
}

/** Returns the message of any thrown value. */
export const getMessage = (err: unknown): string =>
  err instanceof Error ? err.message : String(err);

/** Tells whether an error is a {@link PeerError}. */
export const isPeerError = (err: unknown): err is PeerError => err instanceof PeerError;
