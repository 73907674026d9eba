import { TokenBucket, type Clock } from "@lycheepulley/core";

import type { RequestHead } from "./types.js";

/** Bytes of a stream beside those of its tokens, and for each token that its request allows. */
const SPARE_BYTES = 1_048_576;
const BYTES_PER_TOKEN = 1_024;
/** Events beside those of its tokens, and for each token. */
const SPARE_EVENTS = 64;
const EVENTS_PER_TOKEN = 2;
/** Bytes that a stream may have at once when its request names no tokens, and in each second from then on. */
const BURST_BYTES = 8_388_608;
const BYTES_PER_S = 262_144;

/** Bounds what one request's stream may consist of: a worker that writes whole events without end writes no answer. */
export class StreamLimit {
  readonly #maxEvents: number;
  readonly #bytes: TokenBucket;
  #events = 0;

  constructor(clock: Clock, { outputTokens }: Pick<RequestHead, "outputTokens">) {
    const isKnown = outputTokens > 0;
    this.#maxEvents = isKnown ? SPARE_EVENTS + EVENTS_PER_TOKEN * outputTokens : Infinity;
    this.#bytes = new TokenBucket({
      ...{ clock, ratePerS: isKnown ? 0 : BYTES_PER_S },
      burst: isKnown ? SPARE_BYTES + BYTES_PER_TOKEN * outputTokens : BURST_BYTES,
    });
  }

  /** Counts bytes of the stream; false once there are more than the request allows. */
  addBytes(bytes: number): boolean {
    return this.#bytes.tryTake(bytes);
  }

  /** The same for events. */
  addEvents(events: number): boolean {
    this.#events += events;
    return this.#events <= this.#maxEvents;
  }
}
