import { estimateValue } from "./lateness.js";
import type { RouteTable } from "./RouteTable.js";
import type { ForwardRequest } from "./types.js";

/** Estimated worth of a prompt among those of its pool. */
export const getRequestValue = (
  { req, pool }: { readonly req: ForwardRequest; readonly pool: string },
  table: RouteTable | undefined,
): number => estimateValue(req.head.promptTokens, table?.getRank(pool, req.priority));
