import type { Upstream } from "../fleetConfig.js";
import type { PlacementQuery } from "../placementQuery.js";
import { getRequestValue } from "../requestValue.js";
import type { RouteTable } from "../RouteTable.js";
import type { QuotaWait } from "./QuotaQueue.js";

/** How long a request waits for the quotas of these upstreams from the monotonic time `now` on. */
export const newQuotaWait = (
  query: PlacementQuery,
  upstreams: readonly Upstream[],
  { now, table }: { now: number; table: RouteTable | undefined },
): QuotaWait => {
  const { timeline, deadlineAtMs, signal } = query;
  const hasEvents = timeline.firstMs !== undefined;
  return {
    upstreams: upstreams.map(({ id }) => id),
    value: getRequestValue(query, table),
    untilMs: hasEvents ? deadlineAtMs : now + timeline.getTargetLeftMs(now),
    signal,
  };
};
