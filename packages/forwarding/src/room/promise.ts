import { z } from "zod";

/** A promise that its process doesn't renew ends after this time. */
export const PROMISE_TERM_MS = 1_500;
/** A promise to a caller that was told to return ends this long after the named time. */
export const RETURN_GRACE_MS = 400;
/** A prompt that expects its room this soon is about to take it. */
const IMMINENT_MS = 100;
const MAX_KEY_LENGTH = 64;

/** Room that a prompt is promised which isn't sent yet: on the upstreams of its load item. */
export const roomPromiseSchema = z.object({
  /** Time until there is room, milliseconds from this renewal. */
  inMs: z.number().nonnegative(),
  /** Time until the prompt needs it at the latest; others may use it before. */
  neededInMs: z.number().nonnegative(),
  /** Time for which it is needed. */
  forMs: z.number().nonnegative(),
  /** Place in the queue. The lowest goes first; between equal places the id decides. */
  place: z.number().int().positive(),
  /** Rises with each renewal. */
  renewal: z.number().int().nonnegative(),
  /** The request that may return for the room; undefined for one that waits. */
  returnKey: z.string().max(MAX_KEY_LENGTH).optional(),
});
export type RoomPromise = z.infer<typeof roomPromiseSchema>;

const isAmount = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

/** True for what {@link roomPromiseSchema} accepts unchanged, and for no promise. */
export const isOptionalPromise = (value: unknown): boolean => {
  if (value === undefined) {
    return true;
  }
  if (typeof value !== "object" || value === null) {
    return false;
  }
  const { inMs, neededInMs, forMs, place, renewal, returnKey } = value as Partial<
    Record<keyof RoomPromise, unknown>
  >;
  return (
    [inMs, neededInMs, forMs].every(isAmount) &&
    Number.isSafeInteger(place) &&
    (place as number) > 0 &&
    Number.isSafeInteger(renewal) &&
    (renewal as number) >= 0 &&
    (returnKey === undefined ||
      (typeof returnKey === "string" && returnKey.length <= MAX_KEY_LENGTH))
  );
};

/** Claim of a prompt that isn't sent yet on the memory of one upstream. */
export interface RoomClaim {
  /** Id of the prompt's load item. */
  readonly id: string;
  readonly place: number;
  /** Time until others have to leave the memory, milliseconds. */
  readonly inMs: number;
  /** Expected time until there is room for the whole prompt. */
  readonly roomMs: number;
  readonly forMs: number;
  readonly tokens: number;
}

/** What a load item with a promise consists of, with the time at which it was recorded here. */
interface PromisedItem {
  readonly id: string;
  readonly upstream: string;
  readonly helpers: readonly string[];
  readonly kvTokens: number;
  readonly heldTokens: readonly number[];
  readonly promise?: RoomPromise | undefined;
  readonly sinceMs: number;
}

/** False once a promise has ended by itself. */
export const isInForce = ({ promise, sinceMs }: PromisedItem, nowMs: number): boolean => {
  if (!promise) {
    return false;
  }
  const termMs = promise.returnKey === undefined ? PROMISE_TERM_MS : promise.inMs + RETURN_GRACE_MS;
  return nowMs < sinceMs + termMs;
};

/** Claims of a load item with a promise, by upstream; none once the promise has ended. */
export const listClaims = (
  item: PromisedItem,
  nowMs: number,
): readonly (readonly [upstream: string, claim: RoomClaim])[] => {
  const { id, promise } = item;
  if (!promise || !isInForce(item, nowMs)) {
    return [];
  }
  const { place, forMs } = promise;
  const elapsedMs = nowMs - item.sinceMs;
  const roomMs = Math.max(0, promise.inMs - elapsedMs);
  const inMs = roomMs <= IMMINENT_MS ? roomMs : Math.max(roomMs, promise.neededInMs - elapsedMs);
  const members = [item.upstream, ...item.helpers];
  const tokens = [item.kvTokens, ...item.heldTokens];
  return members.flatMap((upstream, index) =>
    (tokens[index] ?? 0) > 0
      ? [[upstream, { id, place, inMs, roomMs, forMs, tokens: tokens[index] ?? 0 }] as const]
      : [],
  );
};

/** True when the first goes before the second; all processes agree on it. */
export const goesBefore = (
  a: Pick<RoomClaim, "id" | "place">,
  b: Pick<RoomClaim, "id" | "place">,
): boolean => (a.place === b.place ? a.id < b.id : a.place < b.place);
