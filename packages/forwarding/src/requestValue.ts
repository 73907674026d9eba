import { estimateValue } from "./lateness.js";
import type { RouteTable } from "./RouteTable.js";
import type { ForwardRequest } from "./types.js";

/** Estimated worth of a request among those that compete for its pool, by size and rank. */
export const getRequestValue = (
  { req, pool }: { readonly req: ForwardRequest; readonly pool: string },
  table: RouteTable | undefined,
): number => estimateValue(req.head.promptTokens, table?.getRank(pool, req.priority));
