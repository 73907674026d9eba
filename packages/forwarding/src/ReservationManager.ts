import { getMessage, type Cancel, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Upstream } from "./fleetConfig.js";
import type { UpstreamControl } from "./types.js";

/** A reservation expires this long after its last renewal. */
const RESERVATION_TERM_MS = 3_500;
const RENEWAL_INTERVAL_MS = 1_100;
const MAX_RELEASE_ATTEMPTS = 3;

/** KV memory to reserve at one upstream. */
export interface ReservationRequest {
  readonly upstream: Upstream;
  readonly tokens: number;
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

  constructor(options: { clock: Clock; control: UpstreamControl; logger: Logger }) {
    this.#clock = options.clock;
    this.#control = options.control;
    this.#logger = options.logger;
  }

  /** Reserves all of the requested memory, or none of it; undefined for none. */
  async reserveAll(
    requestId: string,
    requests: readonly ReservationRequest[],
  ): Promise<Reservations | undefined> {
    const ids = new Map(
      requests.map(({ upstream }, index) => [upstream.id, `${requestId}-${String(index)}`]),
    );
    const entries = requests.map((request) => ({
      request,
      id: ids.get(request.upstream.id) ?? "",
    }));
    const results = await Promise.all(entries.map(({ request, id }) => this.#reserve(request, id)));
    if (results.every(Boolean)) {
      return this.#renewUntilReleased(requestId, entries, ids);
    }
    this.#logger.info("KV memory not reserved", {
      ...{ requestId, step: "reserve" },
      missing: entries
        .filter((_, index) => !results[index])
        .map(({ request }) => request.upstream.id),
    });
    entries.forEach(({ request, id }) => {
      void this.#release(requestId, request.upstream, id);
    });
    return undefined;
  }

  #renewUntilReleased(
    requestId: string,
    entries: readonly { request: ReservationRequest; id: string }[],
    ids: ReadonlyMap<string, string>,
  ): Reservations {
    let cancel: Cancel = () => undefined;
    let isReleased = false;
    const renew = (): void => {
      cancel = this.#clock.setTimer(() => {
        entries.forEach(({ request, id }) => {
          void this.#renew(requestId, { request, id, isReleased: () => isReleased });
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
        entries.forEach(({ request, id }) => {
          void this.#release(requestId, request.upstream, id);
        });
      },
    };
  }

  async #reserve(request: ReservationRequest, id: string): Promise<boolean> {
    try {
      return await this.#control.reserve(request.upstream, {
        id,
        tokens: request.tokens,
        holdMs: RESERVATION_TERM_MS,
      });
    } catch {
      return false;
    }
  }

  /** Renews a reservation, and releases it again when its request ended meanwhile. */
  async #renew(
    requestId: string,
    {
      request,
      id,
      isReleased,
    }: { request: ReservationRequest; id: string; isReleased: () => boolean },
  ): Promise<void> {
    const isRenewed = await this.#reserve(request, id);
    if (isReleased()) {
      await this.#control.release(request.upstream, id).catch(() => undefined);
    } else if (!isRenewed) {
      const peer = request.upstream.id;
      this.#logger.warn("reservation not renewed", { requestId, step: "reserve", peer });
    }
  }

  async #release(requestId: string, upstream: Upstream, id: string): Promise<void> {
    for (let attempt = 1; attempt <= MAX_RELEASE_ATTEMPTS; attempt++) {
      try {
        await this.#control.release(upstream, id);
        return;
      } catch (err) {
        this.#logger.warn("reservation not released", {
          ...{ requestId, step: "release", peer: upstream.id, attempt },
          err: getMessage(err),
        });
      }
    }
  }
}
