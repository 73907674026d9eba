import { z } from "zod";

/**
 * Position of what was read from a service: the generation of its log, the epoch within that and the
 * version within both. Positions are compared with {@link isListBefore}.
 */
export const listPositionSchema = z.object({
  /** Rises when the service began again without naming a newer epoch; 0 when absent. */
  generation: z.number().int().nonnegative().optional(),
  /**
   * Rises when the service was restored from an older copy and says so. Absent for a service without
   * epochs.
   */
  epoch: z.number().optional(),
  version: z.number(),
});
export type ListPosition = z.infer<typeof listPositionSchema>;

/** The part of a position within which versions are comparable. */
export type ListEpoch = Pick<ListPosition, "generation" | "epoch">;

const compareEpochs = (one: ListEpoch, other: ListEpoch): number =>
  (one.generation ?? 0) - (other.generation ?? 0) || (one.epoch ?? 0) - (other.epoch ?? 0);

/** True when `one` is of an older epoch than `other`. */
export const isEpochBefore = (one: ListEpoch, other: ListEpoch): boolean =>
  compareEpochs(one, other) < 0;

/** True when versions of both are comparable. */
export const isSameEpoch = (one: ListEpoch, other: ListEpoch): boolean =>
  compareEpochs(one, other) === 0;

/** True when the position `one` is older than `other`. */
export const isListBefore = (one: ListPosition, other: ListPosition): boolean =>
  isSameEpoch(one, other) ? one.version < other.version : isEpochBefore(one, other);
