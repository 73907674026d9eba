import { isPeerError } from "@lycheepulley/core";

const REJECTION_STATUSES: readonly number[] = [429, 503];

/** Tells whether an engine rejected a request because it takes no new work now. */
export const isRejection = (err: unknown): boolean =>
  isPeerError(err) && err.status !== undefined && REJECTION_STATUSES.includes(err.status);

/** Tells whether the engine may have run something; false when it certainly hasn't. */
export const mayHaveReached = (err: unknown): boolean =>
  !isPeerError(err) || (err.sent && !isRejection(err));
