import { z } from "zod";

import { RecordKind, type Draft } from "./records.js";
import type { Register } from "./registers.js";

/** States of a claim on an idempotency key. */
export const ClaimState = {
  Claimed: "claimed",
  Ran: "ran",
  NotRun: "not_run",
  Unknown: "unknown",
} as const;

export const claimBodySchema = z.object({
  state: z.enum(ClaimState),
  attempt: z.number().int(),
  requestId: z.string(),
  /** Process name and incarnation that may dispatch this attempt. */
  holder: z.string(),
  bodySha256: z.string(),
  /** Wall-clock time after which the holder no longer dispatches. */
  deadlineMs: z.number(),
  /** Status and body of the first answer, if the request ran. */
  outcome: z.object({ status: z.number().int(), body: z.string() }).optional(),
});
export type ClaimBody = z.infer<typeof claimBodySchema>;

/** How a process handles a request that carries an idempotency key. */
export type ClaimDecision =
  | { readonly action: "claim"; readonly draft: Draft }
  | { readonly action: "replay"; readonly claim: ClaimBody }
  | { readonly action: "join"; readonly claim: ClaimBody; readonly version: number }
  | { readonly action: "expire"; readonly draft: Draft }
  | { readonly action: "refuse_body" };

/** A request with an idempotency key. */
export interface ClaimRequest {
  readonly key: string;
  readonly requestId: string;
  readonly holder: string;
  readonly bodySha256: string;
  readonly deadlineMs: number;
}

/** Parses a claim register; undefined if it doesn't exist or its body is invalid. */
export const parseClaim = (register: Register | undefined): ClaimBody | undefined =>
  register ? claimBodySchema.safeParse(register.body).data : undefined;

const newClaimDraft = (req: ClaimRequest, version: number, attempt: number): Draft => {
  const { key, ...rest } = req;
  const body: ClaimBody = { state: ClaimState.Claimed, attempt, ...rest };
  return { kind: RecordKind.Claim, key, follows: version, body };
};

/** Creates the draft that puts a claim into a final state. */
export const newClaimEnd = (options: {
  key: string;
  version: number;
  claim: ClaimBody;
  state: typeof ClaimState.Ran | typeof ClaimState.NotRun | typeof ClaimState.Unknown;
  outcome?: ClaimBody["outcome"];
}): Draft => {
  const { claim, state, outcome } = options;
  const body: ClaimBody = { ...claim, state, ...(outcome ? { outcome } : {}) };
  return { kind: RecordKind.Claim, key: options.key, follows: options.version, body };
};

/** Claim in place of one that can't be read, whose request may have run. */
const newUnreadableClaim = (register: Register, req: ClaimRequest): ClaimBody => ({
  state: ClaimState.Unknown,
  attempt: 0,
  requestId: "(unreadable)",
  holder: register.writer,
  bodySha256: req.bodySha256,
  deadlineMs: 0,
});

/** Tolerated clock skew between processes. */
export const CLAIM_EXPIRY_SLACK_MS = 2_000;

/**
 * Decides how to handle a request, given the register of its key. `wallMs` is
 * only a hint: at worst a wrong clock marks a claim as unknown too early.
 */
export const decideClaim = (
  register: Register | undefined,
  req: ClaimRequest,
  wallMs: number,
): ClaimDecision => {
  const version = register?.version ?? 0;
  const claim = parseClaim(register);
  if (!register) {
    return { action: "claim", draft: newClaimDraft(req, version, 1) };
  }
  if (!claim) {
    return { action: "replay", claim: newUnreadableClaim(register, req) };
  }
  if (claim.bodySha256 !== req.bodySha256) {
    return { action: "refuse_body" };
  }
  switch (claim.state) {
    case ClaimState.NotRun:
      return { action: "claim", draft: newClaimDraft(req, version, claim.attempt + 1) };
    case ClaimState.Claimed:
      // Only the holder has a record of its dispatch, so others can only set the state to unknown.
      return wallMs > claim.deadlineMs + CLAIM_EXPIRY_SLACK_MS
        ? {
            action: "expire",
            draft: newClaimEnd({ key: req.key, version, claim, state: ClaimState.Unknown }),
          }
        : { action: "join", claim, version };
    case ClaimState.Ran:
    case ClaimState.Unknown:
      return { action: "replay", claim };
  }
};
