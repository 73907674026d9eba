import type { Clock } from "@lycheepulley/core";

import { LoadPhase, type LoadItem } from "../load.js";
import type { LoadTracker } from "../LoadTracker.js";
import { getReturnKey } from "../room/decisions.js";
import { isInForce, RETURN_GRACE_MS } from "../room/promise.js";
import type { ForwardRequest } from "../types.js";
import { getCustomerKey } from "./customerKey.js";

/** Share of the time left after which callers come back at the latest, whatever they are told. */
const HONOURED_SHARE = 1 / 3;
/** No caller is told to come back sooner. */
const MIN_RETURN_MS = 500;
/**
 * A caller may come back this much earlier than it was told, and this share of the time: processes count
 * the time from when they hear of it.
 */
const EARLY_RETURN_MS = 250;
const EARLY_RETURN_SHARE = 0.5;
/** Most callers of one process that have an appointment; others get times without one. */
const MAX_APPOINTMENTS = 64;

/** When a rejected caller is to come back. */
export interface Appointment {
  /** It is back when it was told to, and goes before newcomers. */
  readonly isDue: boolean;
  /** Time until then, milliseconds. */
  readonly leftMs: number;
}

/** What a rejected caller asks for, and when there may be room for it. */
export interface ReturnRequest {
  readonly req: ForwardRequest;
  readonly pool: string;
  /** Time after which the upstreams are expected to have room, milliseconds. */
  readonly roomMs: number;
  /** Time that its work takes the upstreams that its customer may use, milliseconds. */
  readonly workMs: number;
  readonly deadlineLeftMs: number;
}

/** Load of an item that takes no memory and no slot at any upstream, so that only its time counts. */
const NO_LOAD: Omit<LoadItem, "id" | "pool"> = {
  ...{ phase: LoadPhase.Reading, upstream: "", helpers: [], readMs: 0, kvTokens: 0 },
  ...{ heldTokens: [], maxGapMs: 1, targetLeftMs: 0, deadlineLeftMs: 0, value: 0, isLate: false },
};

const getId = (req: ForwardRequest): string => `back-${getReturnKey(req)}`;
const isAppointment = ({ id }: Pick<LoadItem, "id">): boolean => id.startsWith("back-");

/**
 * Appointments of callers that were rejected for the work that they ask for, one small load item each, so that
 * all processes know them. Each customer's callers come back one after the other, oldest first.
 */
export class ReturnBook {
  readonly #clock: Clock;
  readonly #loadTracker: LoadTracker;
  readonly #own = new Set<string>();
  /** Appointments that a caller has come back for. */
  readonly #taken = new Set<string>();

  constructor({ clock, loadTracker }: { clock: Clock; loadTracker: LoadTracker }) {
    this.#clock = clock;
    this.#loadTracker = loadTracker;
  }

  /** The appointment of a request that was rejected before; undefined for a newcomer. */
  find(req: ForwardRequest): Appointment | undefined {
    const id = getId(req);
    const times = this.#list((item) => item.id === id);
    if (times.length === 0 || this.#taken.has(id)) {
      return undefined;
    }
    const leftMs = Math.max(...times.map((time) => time.leftMs));
    const namedMs = Math.max(...times.map((time) => time.namedMs));
    const earlyMs = Math.min(EARLY_RETURN_MS, EARLY_RETURN_SHARE * namedMs);
    return { isDue: leftMs <= earlyMs, leftMs: Math.max(0, leftMs) };
  }

  /** Time after which a rejected caller is to come back, milliseconds: behind those of its customer told before. */
  appoint({ req, pool, roomMs, workMs, deadlineLeftMs }: ReturnRequest): number {
    const customer = req.customer === undefined ? undefined : getCustomerKey(req.customer);
    const queue = this.#list(
      (item) => isAppointment(item) && item.pool === pool && item.customer === customer,
    );
    const behindMs = queue.length > 0 ? Math.max(...queue.map(({ leftMs }) => leftMs)) + workMs : 0;
    const honouredMs = HONOURED_SHARE * Math.max(0, deadlineLeftMs);
    const inMs = Math.ceil(Math.min(honouredMs, Math.max(MIN_RETURN_MS, roomMs, behindMs)));
    const id = getId(req);
    if (this.#own.size < MAX_APPOINTMENTS && !this.#own.has(id)) {
      const returnKey = getReturnKey(req);
      const promise = { inMs, neededInMs: inMs, forMs: 0, place: 1, renewal: 0, returnKey };
      this.#own.add(id);
      this.#loadTracker.setOwn({ ...NO_LOAD, id, pool, promise, ...(customer && { customer }) });
      this.#clock.setTimer(() => {
        this.#own.delete(id);
        this.#loadTracker.removeOwn(id);
      }, inMs + RETURN_GRACE_MS);
    }
    return inMs;
  }

  /** Has a request take the place of its appointment, which no other may take then. */
  take(req: ForwardRequest): void {
    const id = getId(req);
    if (this.#taken.has(id) || this.find(req) === undefined) {
      return;
    }
    this.#taken.add(id);
    this.#clock.setTimer(() => this.#taken.delete(id), RETURN_GRACE_MS + EARLY_RETURN_MS);
  }

  /** Number of callers that this process told to come back and that aren't back. */
  get size(): number {
    return this.#own.size;
  }

  /** Named times of the appointments that match, and what is left of them, negative once they are over. */
  #list(matches: (item: LoadItem) => boolean): { namedMs: number; leftMs: number }[] {
    const now = this.#clock.now();
    return this.#loadTracker.items
      .filter((item) => item.promise && matches(item) && isInForce(item, now))
      .map(({ promise, sinceMs }) => {
        const namedMs = promise?.inMs ?? 0;
        return { namedMs, leftMs: namedMs - (now - sinceMs) };
      });
  }
}
