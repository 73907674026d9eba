import { z } from "zod";

import { listPositionSchema, type ListPosition } from "../sources/listPosition.js";

/** Failure domains that operators evacuate, as the service that holds the requests lists them. */
export interface EvacuationList extends ListPosition {
  readonly domains: readonly string[];
}

/** What a process knows of evacuations, as it states it in its heartbeats. */
export const evacuationStatementSchema = listPositionSchema.extend({
  domains: z.array(z.string()),
  /** Domains that are evacuated though the list, restored from an older copy, lacks them for now. */
  held: z.array(z.string()).optional(),
});
export type EvacuationStatement = z.output<typeof evacuationStatementSchema>;

/** Longest name in a statement, characters; longer ones are in force where they were read. */
export const MAX_STATED_LENGTH = 64;
/** Bytes of the names in a statement, and of those held: the heartbeats that a relay sends on are one datagram. */
export const MAX_STATED_BYTES = 640;
