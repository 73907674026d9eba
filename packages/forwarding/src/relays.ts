import type { LoadChange } from "./LoadTracker.js";
import { PeerState, type PeerIdentity } from "./PeerTable.js";

/** A load change with the process that it is about. */
export interface RelayedChange extends LoadChange {
  readonly host: string;
  readonly incarnation: number;
  readonly seq: number;
}

const ranksHigher = (one: PeerIdentity, other: PeerIdentity): boolean =>
  one.capacity === other.capacity ? one.host < other.host : one.capacity > other.capacity;

/**
 * The processes that relay messages to the others of their failure domain: of the live ones in each
 * domain the one that comes `rank` places after the one with the most capacity, or the last.
 */
export const pickRelays = (processes: readonly PeerIdentity[], rank = 0): PeerIdentity[] => {
  const byDomain = new Map<string, PeerIdentity[]>();
  for (const process of processes.filter(({ state }) => state === PeerState.Live)) {
    const domain = byDomain.get(process.failureDomain) ?? [];
    domain.push(process);
    byDomain.set(process.failureDomain, domain);
  }
  return [...byDomain.values()].flatMap((domain) => {
    domain.sort((one, other) => (ranksHigher(one, other) ? -1 : 1));
    return domain[Math.min(rank, domain.length - 1)] ?? [];
  });
};
