import { rankMembers } from "@lycheepulley/core";

/** The processes that this one sees. */
export interface Members {
  /** Host of this process. */
  readonly self: string;
  /** Hosts that may own shared state, with this process's unless it is leaving. */
  readonly hosts: readonly string[];
  /** Processes that were seen lately, alive or not, besides this one. */
  readonly known: number;
}

/** The process that owns the shared state of a key, by rendezvous hashing. */
export const pickOwner = (key: string, { self, hosts }: Members): string =>
  rankMembers(key, hosts)[0] ?? self;
