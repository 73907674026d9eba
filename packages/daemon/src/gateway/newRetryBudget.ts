import type { Clock } from "@lycheepulley/core";
import { RetryBudget, type PeerTable } from "@lycheepulley/forwarding";

import type { GatewaySettings } from "./types.js";

/** Processes assumed besides the live peers when the retry budget is divided. */
const ASSUMED_EXTRA_PROCESSES = 3;

/** This process's part of the retry budget that the settings allow for all. */
export const newRetryBudget = (
  { retryRatio, retryWindowMs, retrySlack }: GatewaySettings,
  clock: Clock,
  peers: PeerTable,
): RetryBudget =>
  new RetryBudget({
    clock,
    limits: { ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack },
    getProcessCount: () => peers.getLive().length + ASSUMED_EXTRA_PROCESSES,
  });
