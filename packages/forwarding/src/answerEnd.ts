import { SendResult, type SendOutcome } from "./outcomes.js";
import type { AnswerFacts } from "./types.js";

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** True when the end of an answer can be told from that of its connection, or doesn't matter. */
export const hasKnownEnd = (method: string, status: number, facts: AnswerFacts): boolean =>
  facts.isFramed || facts.isNotRun || method === "HEAD" || BODILESS_STATUSES.has(status);

/** Outcome of a send whose upstream ended together with an answer without framing. */
export const ENDED_WITH_UPSTREAM: SendOutcome = {
  result: SendResult.Broken,
  reason: "upstream ended with an answer that has no framing",
  isCut: true,
};
