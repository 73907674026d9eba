import type { SendEvidence } from "./crashes/SendEvidence.js";
import { SendResult, type SendOutcome } from "./outcomes.js";
import { PlacementFailure, type Placement } from "./placementQuery.js";
import type { PlannedSend } from "./SendPlanner.js";

/** One send of a request, from the search of an upstream to its outcome. */
export interface LiveSend {
  /** Aborted with the result of a send that is ended early. */
  readonly abort: AbortController;
  placement: Placement | undefined;
  /** What the send tells about the parts of the prompt; set once the request went to the upstream. */
  evidence: SendEvidence | undefined;
}

/** A plan without an upstream. */
export type FailedPlan = Exclude<PlannedSend, { readonly kind: "planned" }>;

/** What happens to the sends of a request. */
export type JobEvent =
  | FailedPlan
  /** A send stalls, and another one may follow. */
  | { readonly kind: "stalled" }
  | { readonly kind: "ended"; readonly live: LiveSend; readonly outcome: SendOutcome };

/** Result of a request that may have run, and for which no other upstream is found. */
export const getFailedResult = (failed: FailedPlan): SendResult => {
  if (failed.kind === "held") {
    return SendResult.Broken;
  }
  return failed.reason === PlacementFailure.Leaving ? SendResult.Leaving : SendResult.TimedOut;
};
