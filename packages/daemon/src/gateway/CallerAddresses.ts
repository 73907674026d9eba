import { createHash } from "node:crypto";

import type { Random } from "@lycheepulley/core";
import {
  isHome,
  sample,
  type Homes,
  type PeerIdentity,
  type PeerTable,
  type Regions,
} from "@lycheepulley/forwarding";

/** A process whose newest own read is older may be cut off. */
const FRESH_READ_MS = 1_600;
/** An answer names at least as many processes, so that callers are left some when one ends. */
const MIN_NAMED = 4;
/** A failure domain serves its callers alone if it has this share of a domain's mean capacity. */
const MIN_DOMAIN_SHARE = 0.75;
/** Range of the hash by which a process is named. */
const HASH_RANGE = 2 ** 32;

/** What a process must tell of itself to be named. */
export type NamedProcess = Pick<
  PeerIdentity,
  "host" | "callerAddress" | "failureDomain" | "capacity"
>;

/** Who asks for addresses, as far as it says. */
export interface AskingCaller {
  readonly failureDomain?: string | undefined;
  readonly region?: string | undefined;
  /** Homes of all requests to the host that it wants to call. */
  readonly homes?: Homes;
}

/** Chooses the processes that callers are told to connect to. */
export class CallerAddresses {
  readonly #self: string;
  readonly #random: Random;
  readonly #regions: Regions;
  readonly #peers: Pick<PeerTable, "getServing">;
  readonly #getOwn: () => NamedProcess | undefined;
  readonly #getReadAgeMs: () => number | undefined;
  readonly #hashes = new Map<string, number>();

  /**
   * `getOwn` returns this process while it serves callers, `getReadAgeMs` the age of its newest own
   * read of a source.
   */
  constructor(options: {
    self: string;
    random: Random;
    regions?: Regions | undefined;
    peers: Pick<PeerTable, "getServing">;
    getOwn: () => NamedProcess | undefined;
    getReadAgeMs: () => number | undefined;
  }) {
    this.#self = options.self;
    this.#random = options.random;
    this.#regions = options.regions ?? new Map();
    this.#peers = options.peers;
    this.#getOwn = options.getOwn;
    this.#getReadAgeMs = options.getReadAgeMs;
  }

  /** Addresses of at most `maxCount` processes; this one may be among them. */
  select(maxCount: number, caller: AskingCaller = {}): string[] {
    const isConnected = (this.#getReadAgeMs() ?? Infinity) < FRESH_READ_MS;
    const own = this.#getOwn();
    const serving = [...(own ? [own] : []), ...this.#peers.getServing({ isConnected })];
    const near = selectNear(this.#selectAllowed(serving, caller), caller);
    // A random sample spreads callers over the whole fleet when it is larger than `maxCount`.
    return sample(this.#selectByCapacity(near), maxCount, this.#random).map(
      ({ callerAddress }) => callerAddress,
    );
  }

  /** Processes in the caller's region or in all homes; all when there are none. */
  #selectAllowed(
    serving: readonly NamedProcess[],
    { region, homes }: AskingCaller,
  ): readonly NamedProcess[] {
    if (homes === undefined) {
      return serving;
    }
    const regions = new Set([...homes, ...(region === undefined ? [] : [region])]);
    const allowed = serving.filter((one) => isHome(regions, this.#regions, one.failureDomain));
    return allowed.length > 0 ? allowed : serving;
  }

  /**
   * Names each process at a share of the processes that answer, by its capacity. A share of the answers
   * of one process would have callers change their connections at each answer.
   */
  #selectByCapacity(processes: readonly NamedProcess[]): readonly NamedProcess[] {
    const most = Math.max(...processes.map(({ capacity }) => capacity));
    const ranked = processes
      .map((process) => ({
        process,
        rank: this.#getHash(process.host) / (process.capacity / most),
      }))
      .sort((a, b) => a.rank - b.rank);
    const named = ranked.filter(({ rank }) => rank < 1).length;
    return ranked.slice(0, Math.max(MIN_NAMED, named)).map(({ process }) => process);
  }

  /** Number from 0 to 1 that differs between the processes that answer. */
  #getHash(host: string): number {
    let hash = this.#hashes.get(host);
    if (hash === undefined) {
      const digest = createHash("sha1").update(`${this.#self} ${host}`).digest();
      hash = digest.readUInt32BE() / HASH_RANGE;
      this.#hashes.set(host, hash);
    }
    return hash;
  }
}

const sumCapacity = (processes: readonly NamedProcess[]): number =>
  processes.reduce((sum, { capacity }) => sum + capacity, 0);

/** Processes of the caller's failure domain, or all when it has few or weak ones. */
const selectNear = (
  processes: readonly NamedProcess[],
  { failureDomain }: AskingCaller,
): readonly NamedProcess[] => {
  const near = processes.filter((one) => one.failureDomain === failureDomain);
  const domains = new Set(processes.map((one) => one.failureDomain)).size;
  const isEnough =
    near.length >= MIN_NAMED &&
    sumCapacity(near) * domains >= MIN_DOMAIN_SHARE * sumCapacity(processes);
  return isEnough ? near : processes;
};
