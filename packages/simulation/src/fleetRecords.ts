/** Work at all upstreams of a fleet at one moment. */
export interface FleetUtilization {
  readonly upstreams: number;
  /** Requests that hold a slot. */
  readonly running: number;
  readonly queued: number;
  /** Parts of prompts that upstreams prefill as helpers. */
  readonly helping: number;
  /** Prefill that is left to do, milliseconds of one upstream. */
  readonly prefillMs: number;
}

/** A time during which an upstream named a limit. */
export interface LimitPeriod {
  /** Times at which requests arrived at the upstream, also before and after the period. */
  readonly arrivals: readonly number[];
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}
