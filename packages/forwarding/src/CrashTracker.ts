import type { Clock } from "@lycheepulley/core";

/** Lost upstreams after which a request is blocked. */
const MAX_STRIKES = 3;
const STRIKE_TERM_MS = 60_000;
const MAX_ENTRIES = 2_000;

interface Strikes {
  readonly upstreams: Set<string>;
  updatedMs: number;
}

/** Counts the upstreams that were lost while they ran equal requests. */
export class CrashTracker {
  readonly #clock: Clock;
  readonly #strikes = new Map<string, Strikes>();
  readonly #onStrike: (fingerprint: string, upstreamId: string) => void;

  constructor(options: {
    clock: Clock;
    onCrash: (fingerprint: string, upstreamId: string) => void;
  }) {
    this.#clock = options.clock;
    this.#onStrike = options.onCrash;
  }

  /** Records that an upstream broke off while it ran a request, and tells the peers. */
  recordCrash(fingerprint: string, upstreamId: string): void {
    this.recordPeerCrash(fingerprint, upstreamId);
    this.#onStrike(fingerprint, upstreamId);
  }

  /** Records a strike that a peer saw. */
  recordPeerCrash(fingerprint: string, upstreamId: string): void {
    const strikes = this.#get(fingerprint) ?? { upstreams: new Set<string>(), updatedMs: 0 };
    strikes.upstreams.add(upstreamId);
    strikes.updatedMs = this.#clock.now();
    this.#strikes.delete(fingerprint);
    this.#strikes.set(fingerprint, strikes);
    const [oldest] = this.#strikes.keys();
    if (this.#strikes.size > MAX_ENTRIES && oldest !== undefined) {
      this.#strikes.delete(oldest);
    }
  }

  /** A request that was answered crashes nothing. */
  clear(fingerprint: string): void {
    this.#strikes.delete(fingerprint);
  }

  isBlocked(fingerprint: string): boolean {
    return (this.#get(fingerprint)?.upstreams.size ?? 0) >= MAX_STRIKES;
  }

  #get(fingerprint: string): Strikes | undefined {
    const strikes = this.#strikes.get(fingerprint);
    if (strikes && this.#clock.now() - strikes.updatedMs > STRIKE_TERM_MS) {
      this.#strikes.delete(fingerprint);
      return undefined;
    }
    return strikes;
  }
}
