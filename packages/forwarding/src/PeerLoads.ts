import type { UpstreamLoad } from "./load.js";

/** What peers know of the load, for a process that doesn't hear of every request of the others. */
export interface PeerLoads {
  /** True while this process hears of its own requests only. */
  readonly isNeeded: boolean;
  /** Loads of those of these upstreams that have any; undefined when no peer answers in time. */
  fetch(upstreams: readonly string[]): Promise<ReadonlyMap<string, UpstreamLoad> | undefined>;
}
