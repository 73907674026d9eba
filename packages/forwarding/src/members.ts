import { rankMembers } from "@lycheepulley/core";

/** The processes that this one sees. */
export interface Members {
  /** Host of this process. */
  readonly self: string;
  /** Hosts that may own shared state, with this process's unless it is leaving. */
  readonly hosts: readonly string[];
  /** Processes that were seen lately, alive or not, besides this one. */
  readonly known: number;
  /** This process sees less than half of the processes that were seen lately, and may be cut off. */
  readonly isPartial?: boolean | undefined;
}

/** True while others may go on without this process: what it owns may be owned elsewhere too. */
export const isUncertain = ({ self, hosts, known, isPartial }: Members): boolean =>
  isPartial === true || (known > 0 && hosts.every((host) => host === self));

/** The process that owns the shared state of a key, by rendezvous hashing. */
export const pickOwner = (key: string, { self, hosts }: Members): string =>
  rankMembers(key, hosts)[0] ?? self;
