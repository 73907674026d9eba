import type { SendEvidence } from "./crashes/SendEvidence.js";
import type { SendOutcome } from "./outcomes.js";
import type { Placement } from "./Placer.js";
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
