/** Control traffic between a process and one kind of peer. */
export interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  calls: number;
}

/** Counts control traffic by kind of peer. */
export class TrafficMeter {
  readonly #byPeer = new Map<string, Traffic>();

  /** Adds one call and its bytes. */
  count(peerKind: string, sentBytes: number, receivedBytes: number): void {
    const traffic = this.#byPeer.get(peerKind) ?? { sentBytes: 0, receivedBytes: 0, calls: 0 };
    traffic.sentBytes += sentBytes;
    traffic.receivedBytes += receivedBytes;
    traffic.calls += 1;
    this.#byPeer.set(peerKind, traffic);
  }

  getTotals(): Record<string, Traffic> {
    return Object.fromEntries(this.#byPeer);
  }
}
