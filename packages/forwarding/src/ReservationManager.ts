import { getMessage, type Cancel, type Clock } from "@lycheepulley/core";
import type { Logger } from "@lycheepulley/telemetry";

import type { Upstream } from "./fleetConfig.js";
import type { UpstreamControl } from "./types.js";

/** Term of a ticket; it lapses this long after its last renewal. */
const HOLD_MS = 3_500;
const RENEW_MS = 1_100;
const RELEASE_TRIES = 3;

/** A ticket that a request wants. */
export interface ReservationRequest {
  readonly upstream: Upstream;
  readonly tokens: number;
}

/** Memory held for one request until it is released. */
export interface Reservations {
  /** Ticket ids by upstream id. */
  readonly ids: ReadonlyMap<string, string>;
  release(): void;
}

/** Sets memory aside for prompts larger than one engine, and always lets go of it. */
export class ReservationManager {
  readonly #clock: Clock;
  readonly #control: UpstreamControl;
  readonly #logger: Logger;

  constructor(options: { clock: Clock; control: UpstreamControl; logger: Logger }) {
    this.#clock = options.clock;
    this.#control = options.control;
    this.#logger = options.logger;
  }

  /** Holds all of the wished memory, or none of it. */
  async reserveAll(
    requestId: string,
    wishes: readonly ReservationRequest[],
  ): Promise<Reservations | undefined> {
    const ids = new Map(
      wishes.map(({ upstream }, index) => [upstream.id, `${requestId}-${String(index)}`]),
    );
    const orders = wishes.map((wish) => ({ wish, id: ids.get(wish.upstream.id) ?? "" }));
    const held = await Promise.all(orders.map(({ wish, id }) => this.#reserve(wish, id)));
    if (held.every(Boolean)) {
      return this.#keep(requestId, orders, ids);
    }
    this.#logger.info("tickets not held", {
      ...{ requestId, step: "reserve" },
      missing: orders.filter((_, index) => !held[index]).map(({ wish }) => wish.upstream.id),
    });
    orders.forEach(({ wish, id }) => {
      void this.#release(requestId, wish.upstream, id);
    });
    return undefined;
  }

  #keep(
    requestId: string,
    orders: readonly { wish: ReservationRequest; id: string }[],
    ids: ReadonlyMap<string, string>,
  ): Reservations {
    let cancel: Cancel = () => undefined;
    let isReleased = false;
    const renew = (): void => {
      cancel = this.#clock.setTimer(() => {
        orders.forEach(({ wish, id }) => {
          void this.#renew(wish, id, () => isReleased);
        });
        renew();
      }, RENEW_MS);
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
        orders.forEach(({ wish, id }) => {
          void this.#release(requestId, wish.upstream, id);
        });
      },
    };
  }

  async #reserve(wish: ReservationRequest, id: string): Promise<boolean> {
    try {
      return await this.#control.reserve(wish.upstream, {
        id,
        tokens: wish.tokens,
        holdMs: HOLD_MS,
      });
    } catch {
      return false;
    }
  }

  /** Renews a ticket; one whose request ended meanwhile is released again. */
  async #renew(wish: ReservationRequest, id: string, isReleased: () => boolean): Promise<void> {
    await this.#reserve(wish, id);
    if (isReleased()) {
      await this.#control.release(wish.upstream, id).catch(() => undefined);
    }
  }

  async #release(requestId: string, upstream: Upstream, id: string): Promise<void> {
    for (let attempt = 1; attempt <= RELEASE_TRIES; attempt++) {
      try {
        await this.#control.release(upstream, id);
        return;
      } catch (err) {
        this.#logger.warn("ticket not released", {
          ...{ requestId, step: "release", peer: upstream.id, attempt },
          err: getMessage(err),
        });
      }
    }
  }
}
