import { getMessage, sleep, type Cancel, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Upstream } from "./fleetConfig.js";
import type { UpstreamControl } from "./types.js";

/** A reservation expires this long after its last renewal. */
const RESERVATION_TERM_MS = 3_500;
const RENEWAL_INTERVAL_MS = 1_100;
const MAX_RELEASE_ATTEMPTS = 3;
/** An order without an answer may be carried out this long after it was sent. */
const LATE_ORDER_MS = 13_000;
/** Interval at which memory is released again that such an order may have set aside. */
const REPEATED_RELEASE_MS = 1_000;

/** KV memory to reserve at one upstream. */
export interface ReservationRequest {
  readonly upstream: Upstream;
  readonly tokens: number;
}

/** Memory at one upstream, with the orders that were sent for it. */
interface Reservation {
  readonly request: ReservationRequest;
  readonly id: string;
  /** When the last order was sent that got no answer. */
  unansweredMs: number | undefined;
}

/** KV memory that is reserved for one request until it is released. */
export interface Reservations {
  /** Reservation ids by upstream id. */
  readonly ids: ReadonlyMap<string, string>;
  release(): void;
}

/** Reserves KV memory for prompts larger than one engine, renews it and releases it at the end. */
export class ReservationManager {
  readonly #clock: Clock;
  readonly #control: UpstreamControl;
  readonly #logger: Logger;
  #releasing = 0;

  constructor(options: { clock: Clock; control: UpstreamControl; logger: Logger }) {
    this.#clock = options.clock;
    this.#control = options.control;
    this.#logger = options.logger;
  }

  /** Reservations that are being released now. */
  get releasing(): number {
    return this.#releasing;
  }

  /** Reserves all of the requested memory, or none of it; undefined for none. */
  async reserveAll(
    requestId: string,
    requests: readonly ReservationRequest[],
  ): Promise<Reservations | undefined> {
    const ids = new Map(
      requests.map(({ upstream }, index) => [upstream.id, `${requestId}-${String(index)}`]),
    );
    const entries = requests.map((request): Reservation => ({
      request,
      id: ids.get(request.upstream.id) ?? "",
      unansweredMs: undefined,
    }));
    const results = await Promise.all(entries.map((entry) => this.#reserve(entry)));
    if (results.every(Boolean)) {
      return this.#renewUntilReleased(requestId, entries, ids);
    }
    this.#logger.info("KV memory not reserved", {
      ...{ requestId, step: "reserve" },
      missing: entries
        .filter((_, index) => !results[index])
        .map(({ request }) => request.upstream.id),
    });
    entries.forEach((entry) => {
      void this.#release(requestId, entry);
    });
    return undefined;
  }

  #renewUntilReleased(
    requestId: string,
    entries: readonly Reservation[],
    ids: ReadonlyMap<string, string>,
  ): Reservations {
    let cancel: Cancel = () => undefined;
    let isReleased = false;
    const renew = (): void => {
      cancel = this.#clock.setTimer(() => {
        entries.forEach((entry) => {
          void this.#renew(requestId, entry, () => isReleased);
        });
        renew();
      }, RENEWAL_INTERVAL_MS);
    };
    renew();
    return {
      ids,
      release: () => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        cancel();
        entries.forEach((entry) => {
          void this.#release(requestId, entry);
        });
      },
    };
  }

  async #reserve(entry: Reservation): Promise<boolean> {
    const { request, id } = entry;
    const sentMs = this.#clock.now();
    try {
      return await this.#control.reserve(request.upstream, {
        id,
        tokens: request.tokens,
        holdMs: RESERVATION_TERM_MS,
      });
    } catch {
      entry.unansweredMs = sentMs;
      return false;
    }
  }

  /** Renews a reservation, and releases it again when its request ended meanwhile. */
  async #renew(requestId: string, entry: Reservation, isReleased: () => boolean): Promise<void> {
    const isRenewed = await this.#reserve(entry);
    if (isReleased()) {
      await this.#release(requestId, entry);
    } else if (!isRenewed) {
      const peer = entry.request.upstream.id;
      this.#logger.warn("reservation not renewed", { requestId, step: "reserve", peer });
    }
  }

  async #release(requestId: string, entry: Reservation): Promise<void> {
    this.#releasing += 1;
    for (let attempt = 1; attempt <= MAX_RELEASE_ATTEMPTS; attempt++) {
      if (await this.#tryRelease(requestId, entry, attempt)) {
        break;
      }
    }
    this.#releasing -= 1;
    await this.#releaseLateOrders(requestId, entry);
  }

  /** Releases again for as long as an order that got no answer may still set memory aside. */
  async #releaseLateOrders(requestId: string, entry: Reservation): Promise<void> {
    const { unansweredMs } = entry;
    if (unansweredMs === undefined) {
      return;
    }
    for (let attempt = 1; this.#clock.now() < unansweredMs + LATE_ORDER_MS; attempt++) {
      await sleep(this.#clock, REPEATED_RELEASE_MS);
      await this.#tryRelease(requestId, entry, attempt);
    }
  }

  async #tryRelease(
    requestId: string,
    { request: { upstream }, id }: Reservation,
    attempt: number,
  ): Promise<boolean> {
    try {
      await this.#control.release(upstream, id);
      return true;
    } catch (err) {
      this.#logger.warn("reservation not released", {
        ...{ requestId, step: "release", peer: upstream.id, attempt },
        err: getMessage(err),
      });
      return false;
    }
  }
}
