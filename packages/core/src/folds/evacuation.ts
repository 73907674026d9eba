import { z } from "zod";

import { RecordKind } from "./records.js";
import type { Register } from "./registers.js";

/** An operator's request for one failure domain, or its end. */
export const evacuationBodySchema = z.object({
  action: z.enum(["evacuate", "take back"]),
  by: z.string(),
});
export type EvacuationBody = z.infer<typeof evacuationBodySchema>;

/** A failure domain to which operators want nothing new to be sent. */
export interface EvacuatedDomain {
  readonly domain: string;
  readonly by: string;
  /** Version of its register. */
  readonly version: number;
  readonly sinceMs: number;
}

/** Evacuated failure domains of a fold; a register that can't be read evacuates nothing. */
export const getEvacuatedDomains = (fold: {
  getRegistersOfKind(kind: string): Register[];
}): EvacuatedDomain[] =>
  fold.getRegistersOfKind(RecordKind.Evacuation).flatMap(({ key, body, version, timeMs }) => {
    const parsed = evacuationBodySchema.safeParse(body).data;
    return parsed?.action === "evacuate"
      ? [{ domain: key, by: parsed.by, version, sinceMs: timeMs }]
      : [];
  });
