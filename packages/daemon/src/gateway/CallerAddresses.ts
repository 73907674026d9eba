import type { Random } from "@lycheepulley/core";
import { sample, type PeerTable } from "@lycheepulley/forwarding";

/** Chooses the processes that callers are told to connect to. */
export class CallerAddresses {
  readonly #random: Random;
  readonly #peers: Pick<PeerTable, "getServing">;
  readonly #getOwn: () => string | undefined;

  /** `getOwn` returns the address of this process while it serves callers. */
  constructor(options: {
    random: Random;
    peers: Pick<PeerTable, "getServing">;
    getOwn: () => string | undefined;
  }) {
    this.#random = options.random;
    this.#peers = options.peers;
    this.#getOwn = options.getOwn;
  }

  /** Addresses of at most `maxCount` processes; this one may be among them. */
  select(maxCount: number): string[] {
    const addresses = this.#peers.getServing().map(({ callerAddress }) => callerAddress);
    const own = this.#getOwn();
    // A random sample spreads callers over the whole fleet when it is larger than `maxCount`.
    return sample([...(own === undefined ? [] : [own]), ...addresses], maxCount, this.#random);
  }
}
