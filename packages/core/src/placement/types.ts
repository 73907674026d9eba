/** What a placement decision knows of one engine. */
export interface EngineView {
  readonly name: string;
  readonly failureDomain: string;
  /** Requests granted to the engine and not yet released. */
  readonly requests: number;
  /** Prompt tokens granted and, by estimate, not yet computed. */
  readonly prefillBacklogTokens: number;
  /** Prompt and answer tokens of all granted requests. */
  readonly outstandingTokens: number;
  /** KV memory promised to granted requests. */
  readonly kvReservedTokens: number;
  readonly kvTotalTokens: number;
  readonly maxStreams: number;
  /** Granted requests whose prompt counts as long and is still being computed. */
  readonly longPrefills: number;
  /** Granted requests whose prompt counts as long. */
  readonly longRequests: number;
  readonly prefillTokensPerS: number;
}

/** What a placement decision knows of one request. */
export interface PlacementRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that each engine is believed to have cached. */
  readonly cachedTokens: Readonly<Record<string, number>>;
  /** Time left until the request's deadline, milliseconds. */
  readonly remainingMs: number;
  /** Time that the request has waited, milliseconds. */
  readonly waitedMs: number;
}

/** Knowledge about the whole pool that a policy may use. */
export interface PoolView {
  readonly engines: readonly EngineView[];
  /** Prompt tokens from which a prompt counts as long. */
  readonly longPromptTokens: number;
}

/** Chooses an engine for a request, or undefined to let it wait. */
export interface PlacementPolicy {
  readonly name: string;
  choose(req: PlacementRequest, pool: PoolView): EngineView | undefined;
}
