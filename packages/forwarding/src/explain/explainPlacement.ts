import { getRoomMs } from "../AdmissionControl.js";
import type { Upstream } from "../fleetConfig.js";
import { pickNear, planNear } from "../distance/preferNear.js";
import { getCallCost } from "../pickServiceUpstream.js";
import { planPlacement, type PlacementCandidate, type PlacementPlan } from "../placement.js";
import { NO_UPSTREAM_RETRY_AFTER_MS } from "../retryAfter.js";
import type { PlacementSnapshot } from "./PlacementSnapshot.js";

/** What would become of a request. */
export const Verdict = {
  Sent: "sent",
  /** It waits until an upstream has the memory, or is rejected when that is expected too late. */
  Waits: "waits",
  /** The fleet is busy, and other requests are worth more for the same work. */
  Overloaded: "overloaded",
  /** Its first event would come too late for the whole answer. */
  TooLate: "too_late",
  Limited: "limited",
  NoUpstream: "no_upstream",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** A candidate as the decision sees it. */
export interface ExplainedCandidate {
  readonly upstream: string;
  readonly failureDomain: string;
  readonly inFlight: number;
  readonly slots: number;
  readonly pace: number;
  /** Prefill that waits there, milliseconds. */
  readonly pendingReadMs: number;
  /** Sum of the expected times until its requests end, milliseconds. */
  readonly remainingMs: number;
  /** Requests among them whose cost isn't known. */
  readonly unknown: number;
  /** Expected time to the first event there alone; undefined for calls and without the memory. */
  readonly firstEventMs: number | undefined;
  /** Cost of sending the request there alone; undefined without the memory. */
  readonly cost: number | undefined;
}

/** Where a request goes, and why. */
export interface PlacementExplanation {
  readonly verdict: Verdict;
  readonly upstream: string | undefined;
  readonly helpers: readonly string[];
  readonly firstEventMs: number | undefined;
  readonly loss: number | undefined;
  readonly answerTokens: number | undefined;
  readonly callMs: number | undefined;
  readonly retryAfterMs: number | undefined;
  readonly candidates: readonly ExplainedCandidate[];
  readonly ruledOut: PlacementSnapshot["ruledOut"];
}

/** Ties between calls are broken at random when serving; here the first wins. */
const NO_RANDOM = { next: (): number => 0 };

/** Decides on a snapshot by the functions that serve, and tells what went into it. */
export const explainPlacement = (
  snapshot: PlacementSnapshot,
  random: { next(): number } = NO_RANDOM,
): PlacementExplanation => {
  const { request, callMs } = snapshot;
  const chosen = choose(snapshot, random);
  const verdict = getVerdict(snapshot, chosen);
  const isSent = verdict === Verdict.Sent;
  return {
    verdict,
    upstream: isSent ? chosen?.upstream.id : undefined,
    helpers: isSent ? (chosen?.plan?.helpers ?? []).map(({ id }) => id) : [],
    ...{ firstEventMs: chosen?.plan?.firstEventMs, loss: chosen?.plan?.loss, callMs },
    answerTokens: request?.outputTokens,
    retryAfterMs: getReturnMs(snapshot, verdict),
    candidates: explainCandidates(snapshot),
    ruledOut: snapshot.ruledOut,
  };
};

interface Choice {
  readonly upstream: Upstream;
  readonly plan?: PlacementPlan;
}

const choose = (
  { candidates, engine, request, callMs, targetMs = Infinity }: PlacementSnapshot,
  random: { next(): number },
): Choice | undefined => {
  if (engine && request) {
    const plan = planNear(engine, request, candidates);
    return plan && { upstream: plan.upstream, plan };
  }
  const upstream = pickNear(candidates, random, { callMs, targetMs });
  return upstream && { upstream };
};

const explainCandidates = (snapshot: PlacementSnapshot): ExplainedCandidate[] =>
  snapshot.candidates
    .map((candidate) => explainCandidate(snapshot, candidate))
    .sort((a, b) => (a.cost ?? Infinity) - (b.cost ?? Infinity));

const getVerdict = (snapshot: PlacementSnapshot, chosen: Choice | undefined): Verdict => {
  if (snapshot.candidates.length === 0) {
    return snapshot.limitedInMs === undefined ? Verdict.NoUpstream : Verdict.Limited;
  }
  if (snapshot.isAdmitted === false) {
    return Verdict.Overloaded;
  }
  const { latestFirstMs = Infinity } = snapshot;
  if ((chosen?.plan?.firstEventMs ?? 0) > latestFirstMs) {
    return Verdict.TooLate;
  }
  return chosen ? Verdict.Sent : Verdict.Waits;
};

/** Shortest time to return that the caller would be told; it varies by up to half. */
const getReturnMs = (snapshot: PlacementSnapshot, verdict: Verdict): number | undefined => {
  switch (verdict) {
    case Verdict.Sent:
    case Verdict.Waits:
      return undefined;
    case Verdict.NoUpstream:
      return NO_UPSTREAM_RETRY_AFTER_MS;
    case Verdict.Limited:
      return Math.max(NO_UPSTREAM_RETRY_AFTER_MS, snapshot.limitedInMs ?? 0);
    case Verdict.Overloaded:
    case Verdict.TooLate:
      return Math.max(NO_UPSTREAM_RETRY_AFTER_MS, getRoomMs(snapshot.candidates));
  }
};

const explainCandidate = (
  { engine, request, callMs, targetMs = Infinity }: PlacementSnapshot,
  candidate: PlacementCandidate,
): ExplainedCandidate => {
  const { upstream, load, pace = 1 } = candidate;
  const plan: PlacementPlan | undefined =
    engine && request ? planPlacement(engine, request, [candidate]) : undefined;
  return {
    ...{ upstream: upstream.id, failureDomain: upstream.failureDomain },
    ...{ inFlight: load.inFlight, slots: upstream.slots, pace, pendingReadMs: load.pendingReadMs },
    remainingMs: load.endsMs.reduce((sum, ms) => sum + ms, 0),
    unknown: load.inFlight - load.endsMs.length,
    firstEventMs: plan?.firstEventMs,
    cost: request ? plan?.loss : getCallCost(candidate, { callMs, targetMs }),
  };
};
