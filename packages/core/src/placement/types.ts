/** An engine as seen by a placement policy. */
export interface EngineView {
  readonly name: string;
  readonly failureDomain: string;
  /** Requests granted to the engine and not yet released. */
  readonly requests: number;
  /** Estimated prompt tokens of granted requests that are still to be prefilled. */
  readonly prefillBacklogTokens: number;
  /** The part of that backlog of short prompts without a first token. */
  readonly shortBacklogTokens: number;
  /** Prompt and answer tokens of all granted requests. */
  readonly outstandingTokens: number;
  /** KV memory reserved for granted requests, in tokens. */
  readonly kvReservedTokens: number;
  readonly kvTotalTokens: number;
  readonly maxStreams: number;
  /** Granted requests with a long prompt whose prefill hasn't ended. */
  readonly longPrefills: number;
  /** Granted requests with a long prompt. */
  readonly longRequests: number;
  readonly prefillTokensPerS: number;
}

/** A request as seen by a placement policy. */
export interface PlacementRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Estimated tokens of the prompt in each engine's prefix cache, by engine name. */
  readonly cachedTokens: Readonly<Record<string, number>>;
  /** Time left until the request's deadline, milliseconds. */
  readonly remainingMs: number;
  /** Time that the request has been waiting, milliseconds. */
  readonly waitedMs: number;
}

/** A pool as seen by a placement policy. */
export interface PoolView {
  readonly engines: readonly EngineView[];
  /** A prompt with at least this many tokens counts as long. */
  readonly longPromptTokens: number;
}

/** Chooses an engine for a request; undefined leaves the request waiting. */
export interface PlacementPolicy {
  readonly name: string;
  choose(req: PlacementRequest, pool: PoolView): EngineView | undefined;
}
