/** A prompt of this process that waits for KV memory. */
export interface WaitingPrompt {
  readonly route: string;
  readonly sinceMs: number;
  readonly place: number;
  lookedMs: number;
  renewedMs: number;
  renewal: number;
  /** Expected time of the room when it was first known, and as of now. */
  firstRoomAtMs: number | undefined;
  roomAtMs: number | undefined;
  /** Latest time of the room, as of the first promise. */
  neededAtMs: number | undefined;
  tokens: number;
  /** Upstreams with promised memory. */
  upstreams: readonly string[];
  /** Since when there is memory that prompts before it may be about to take. */
  yieldsSinceMs: number | undefined;
}

/** A prompt that begins to wait at the monotonic time `now`, promised nothing yet. */
export const newWaitingPrompt = (options: {
  route: string;
  place: number;
  now: number;
}): WaitingPrompt => {
  const { route, place, now } = options;
  return {
    ...{ route, place, sinceMs: now, lookedMs: now, renewedMs: -Infinity, renewal: 0 },
    ...{ firstRoomAtMs: undefined, roomAtMs: undefined, neededAtMs: undefined },
    ...{ tokens: 0, upstreams: [], yieldsSinceMs: undefined },
  };
};
