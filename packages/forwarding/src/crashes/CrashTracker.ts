import type { Clock } from "@lycheepulley/core";

/** Crashed upstreams after which a request is blocked. */
const MAX_CRASHED_UPSTREAMS = 3;
/** Time after the last crash at which the crashes of a request are forgotten. */
const CRASH_MEMORY_MS = 60_000;
const MAX_TRACKED_REQUESTS = 2_000;

/** Upstreams that crashed while they ran one request. */
interface CrashRecord {
  readonly upstreams: Set<string>;
  updatedMs: number;
}

/** Counts the upstreams that crashed while they ran equal requests, and blocks requests with too many. */
export class CrashTracker {
  readonly #clock: Clock;
  readonly #records = new Map<string, CrashRecord>();
  readonly #onCrash: (fingerprint: string, upstreamId: string) => void;

  constructor(options: {
    clock: Clock;
    onCrash: (fingerprint: string, upstreamId: string) => void;
  }) {
    this.#clock = options.clock;
    this.#onCrash = options.onCrash;
  }

  /** Records that an upstream broke off while it ran a request, and reports it to the peers. */
  recordCrash(fingerprint: string, upstreamId: string): void {
    this.recordPeerCrash(fingerprint, upstreamId);
    this.#onCrash(fingerprint, upstreamId);
  }

  /** Records a crash that a peer reported. */
  recordPeerCrash(fingerprint: string, upstreamId: string): void {
    const record = this.#get(fingerprint) ?? { upstreams: new Set<string>(), updatedMs: 0 };
    record.upstreams.add(upstreamId);
    record.updatedMs = this.#clock.now();
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    const [oldest] = this.#records.keys();
    if (this.#records.size > MAX_TRACKED_REQUESTS && oldest !== undefined) {
      this.#records.delete(oldest);
    }
  }

  /** Forgets the crashes of a request that was answered, since it isn't what crashes upstreams. */
  clear(fingerprint: string): void {
    this.#records.delete(fingerprint);
  }

  isBlocked(fingerprint: string): boolean {
    return this.count(fingerprint) >= MAX_CRASHED_UPSTREAMS;
  }

  /** Upstreams that crashed while they ran equal requests. */
  count(fingerprint: string): number {
    return this.#get(fingerprint)?.upstreams.size ?? 0;
  }

  #get(fingerprint: string): CrashRecord | undefined {
    const record = this.#records.get(fingerprint);
    if (record && this.#clock.now() - record.updatedMs > CRASH_MEMORY_MS) {
      this.#records.delete(fingerprint);
      return undefined;
    }
    return record;
  }
}
