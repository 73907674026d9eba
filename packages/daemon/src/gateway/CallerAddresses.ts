import type { Random } from "@lycheepulley/core";
import { sample, type PeerTable } from "@lycheepulley/forwarding";

/** A process whose newest own read is older may be cut off. */
const FRESH_READ_MS = 1_600;

/** Chooses the processes that callers are told to connect to. */
export class CallerAddresses {
  readonly #random: Random;
  readonly #peers: Pick<PeerTable, "getServing">;
  readonly #getOwn: () => string | undefined;
  readonly #getReadAgeMs: () => number | undefined;

  /**
   * `getOwn` returns the address of this process while it serves callers, `getReadAgeMs` the age of its
   * newest own read of a source.
   */
  constructor(options: {
    random: Random;
    peers: Pick<PeerTable, "getServing">;
    getOwn: () => string | undefined;
    getReadAgeMs: () => number | undefined;
  }) {
    this.#random = options.random;
    this.#peers = options.peers;
    this.#getOwn = options.getOwn;
    this.#getReadAgeMs = options.getReadAgeMs;
  }

  /** Addresses of at most `maxCount` processes; this one may be among them. */
  select(maxCount: number): string[] {
    const isConnected = (this.#getReadAgeMs() ?? Infinity) < FRESH_READ_MS;
    const addresses = this.#peers
      .getServing({ isConnected })
      .map(({ callerAddress }) => callerAddress);
    const own = this.#getOwn();
    // A random sample spreads callers over the whole fleet when it is larger than `maxCount`.
    return sample([...(own === undefined ? [] : [own]), ...addresses], maxCount, this.#random);
  }
}
