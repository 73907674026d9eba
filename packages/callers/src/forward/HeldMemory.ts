import type { Cancel, Clock } from "@lycheepulley/core";
import type { UpstreamCall } from "@lycheepulley/forwarding";
import type { Logger } from "@lycheepulley/telemetry";

const BYTES_PER_MB = 1_000_000;
/** Memory of a VM that the process needs besides what it holds: heap, code, stacks. */
const OWN_MB = 190;
/** Share of the rest that may be held; the other half covers copies on the way through the process. */
const HELD_SHARE = 0.5;
const MIN_LIMIT_BYTES = 16_000_000;
const MAX_LIMIT_BYTES = 128_000_000;
const DEFAULT_LIMIT_BYTES = 64_000_000;
/** Unread bytes of one answer up to which its upstream isn't paused, while there is memory. */
const MAX_AHEAD_BYTES = 262_144;
/** A peer that has taken nothing for this time may be ended for the bytes that it leaves. */
const MIN_STALL_MS = 500;
/** Interval at which it is noted who takes bytes, while much is held. */
const LOOK_MS = 250;
/** Share of the limit above which that is noted. */
const LOOK_SHARE = 0.5;

/** Limit for the bytes held for callers and upstreams on a VM with this memory. */
export const getHeldLimitBytes = (memoryMb: number | undefined): number =>
  memoryMb === undefined
    ? DEFAULT_LIMIT_BYTES
    : Math.min(
        MAX_LIMIT_BYTES,
        Math.max(MIN_LIMIT_BYTES, (memoryMb - OWN_MB) * BYTES_PER_MB * HELD_SHARE),
      );

/** The connection that an answer goes to. */
export interface AnswerSink {
  readonly requestId: string;
  /** Bytes that the caller hasn't taken. */
  readonly unreadBytes: number;
  /** Ends the request: the caller or, with `isUpstream`, the upstream reads too slowly. */
  end(isUpstream: boolean): void;
}

/**
 * Counts what the process holds for callers and upstreams: bodies of requests until they end, answers
 * that are collected, and bytes that a caller hasn't taken. At the limit, requests whose caller or
 * upstream has taken nothing for longest are ended first; when there is none, nothing more is held.
 */
export class HeldMemory {
  readonly limitBytes: number;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #requests = new Set<HeldRequest>();
  #bytes = 0;
  #cancelLook: Cancel | undefined;

  constructor(options: { clock: Clock; logger: Logger; limitBytes: number }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.limitBytes = options.limitBytes;
  }

  /** Bytes held now, at most. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Requests for which bytes are counted. */
  get requests(): number {
    return this.#requests.size;
  }

  /** Begins to count what is held for a request. */
  start(sink: AnswerSink): HeldRequest {
    const req: HeldRequest = new HeldRequest(this.#clock, sink, (delta) => {
      this.#bytes += delta;
      this.#watch();
    });
    this.#requests.add(req);
    return req;
  }

  end(req: HeldRequest): void {
    if (this.#requests.delete(req)) {
      req.clear();
    }
  }

  /** Makes room by ending the slowest readers; false when more is held than the limit all the same. */
  makeRoom(): boolean {
    if (this.#bytes <= this.limitBytes) {
      return true;
    }
    this.#look();
    const now = this.#clock.now();
    const slow = [...this.#requests]
      .filter(({ takenMs, waitingBytes }) => waitingBytes > 0 && now - takenMs >= MIN_STALL_MS)
      .sort((a, b) => a.takenMs - b.takenMs || b.bytes - a.bytes);
    for (const req of slow) {
      if (this.#bytes <= this.limitBytes) {
        break;
      }
      this.#endSlow(req, now - req.takenMs);
    }
    return this.#bytes <= this.limitBytes;
  }

  #endSlow(req: HeldRequest, stalledMs: number): void {
    const { isUpstream, bytes } = req;
    this.#logger.warn("slow reader ended", {
      ...{ step: "forward", requestId: req.sink.requestId },
      ...{ reader: isUpstream ? "upstream" : "caller", bytes, stalledMs: Math.round(stalledMs) },
      ...{ heldBytes: this.#bytes, limitBytes: this.limitBytes },
    });
    this.end(req);
    req.sink.end(isUpstream);
  }

  #watch(): void {
    if (this.#bytes < this.limitBytes * LOOK_SHARE) {
      this.#cancelLook?.();
      this.#cancelLook = undefined;
    } else {
      this.#cancelLook ??= this.#clock.setTimer(() => {
        this.#cancelLook = undefined;
        this.#look();
        this.#watch();
      }, LOOK_MS);
    }
  }

  #look(): void {
    this.#requests.forEach((req) => {
      req.look();
    });
  }
}

/** What the process holds for one request. */
export class HeldRequest {
  readonly sink: AnswerSink;
  readonly #clock: Clock;
  readonly #onChange: (delta: number) => void;
  #call: Pick<UpstreamCall, "unsentBytes"> | undefined;
  #bodyBytes = 0;
  #collectedBytes = 0;
  #unreadBytes = 0;
  #unsentBytes = 0;
  #takenMs: number;
  #isEnded = false;

  constructor(clock: Clock, sink: AnswerSink, onChange: (delta: number) => void) {
    this.#clock = clock;
    this.sink = sink;
    this.#onChange = onChange;
    this.#takenMs = clock.now();
  }

  get bytes(): number {
    return this.#bodyBytes + this.#collectedBytes + this.#unreadBytes;
  }

  /** Bytes that the caller or the upstream has to take. */
  get waitingBytes(): number {
    return this.#unreadBytes + this.#unsentBytes;
  }

  /** When the caller or the upstream last took bytes, or had none to take. */
  get takenMs(): number {
    return this.#takenMs;
  }

  /** True when it is the upstream that leaves bytes. */
  get isUpstream(): boolean {
    return this.#unsentBytes > 0 && this.#unreadBytes === 0;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
    this.#change(bytes);
  }

  /** Counts bytes of an answer that are kept until it is known to be whole; negative once they aren't. */
  collect(bytes: number): void {
    this.#collectedBytes += bytes;
    this.#change(bytes);
  }

  /** The call that the request's body goes to. */
  setCall(call: Pick<UpstreamCall, "unsentBytes">): void {
    this.#call = call;
  }

  /** Notes what the caller has yet to take; true while the upstream may be read on. */
  write(): boolean {
    this.look();
    return this.#unreadBytes <= MAX_AHEAD_BYTES;
  }

  /** Notes what the caller and the upstream have taken since the last time. */
  look(): void {
    if (this.#isEnded) {
      return;
    }
    const unsent = this.#call?.unsentBytes ?? 0;
    const unread = this.sink.unreadBytes;
    const hasTaken = unread < this.#unreadBytes || unsent < this.#unsentBytes;
    if (hasTaken || this.waitingBytes === 0) {
      this.#takenMs = this.#clock.now();
    }
    const delta = unread - this.#unreadBytes;
    this.#unsentBytes = unsent;
    this.#unreadBytes = unread;
    this.#change(delta);
  }

  /** Ends the count. */
  clear(): void {
    const { bytes } = this;
    this.#change(-bytes);
    this.#isEnded = true;
    this.#bodyBytes = this.#collectedBytes = this.#unreadBytes = this.#unsentBytes = 0;
  }

  #change(delta: number): void {
    if (!this.#isEnded && delta !== 0) {
      this.#onChange(delta);
    }
  }
}
