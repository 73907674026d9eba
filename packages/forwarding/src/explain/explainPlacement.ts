import { getRoomMs } from "../AdmissionControl.js";
import { pickNear, planNear } from "../distance/preferNear.js";
import type { EngineSpec, Upstream } from "../fleetConfig.js";
import { getCallCost } from "../pickServiceUpstream.js";
import { planPlacement, type PlacementPlan, type PlacementRequest } from "../placement.js";
import { getRetryAfterMs } from "../retryAfter.js";
import { decideRoom, getUnknownWaitMs, type RoomDecision } from "../room/decisions.js";
import { goesBefore } from "../room/promise.js";
import { RoomCause } from "../room/RoomCause.js";
import type { PlacementSnapshot } from "./PlacementSnapshot.js";

/** What would become of a request. */
export const Verdict = {
  Sent: "sent",
  /** It waits until upstreams have the memory. */
  Waits: "waits",
  /** It waits until an upstream with a limit or a rest takes another request. */
  WaitsForQuota: "waits_for_quota",
  /** The fleet is busy, and other requests are worth more for the same work. */
  Overloaded: "overloaded",
  /** Its first event would come too late for the whole answer. */
  TooLate: "too_late",
  Limited: "limited",
  NoUpstream: "no_upstream",
  ...RoomCause,
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** What a prompt that waits for memory may expect. */
export interface ExplainedWait {
  /** Place in the queue. */
  readonly place: number;
  /** Prompts before it with memory on the same upstreams, the first one first. */
  readonly behind: readonly { readonly id: string; readonly place: number }[];
  /** Time until there is room, milliseconds; undefined while that isn't known. */
  readonly roomMs: number | undefined;
  /** Time to the first event. */
  readonly firstEventMs: number | undefined;
  /** Upstreams whose memory it expects, the decoder first. */
  readonly upstreams: readonly string[];
  /** The memory would be promised, which binds other requests. */
  readonly isPromised: boolean;
  /** Time after which it would be rejected unless room is known by then; undefined when it is. */
  readonly unknownForMs: number | undefined;
}

/** A candidate as the decision sees it. */
export interface ExplainedCandidate {
  readonly upstream: string;
  readonly failureDomain: string;
  readonly inFlight: number;
  readonly slots: number;
  readonly pace: number;
  /** Observations behind the pace, each with what is left of its weight; undefined where nothing is learned. */
  readonly paceSeen: number | undefined;
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
  /** Set for a prompt that would wait for memory where room is promised. */
  readonly wait: ExplainedWait | undefined;
  /** The room is kept for the request until it returns. */
  readonly isRoomKept: boolean;
  /** Time for which it would wait for a limited upstream. */
  readonly quotaInMs: number | undefined;
  /** The upstream that it goes to or waits for has a limit, whose owner wasn't asked and may refuse. */
  readonly isOwnerUnasked: boolean;
  readonly candidates: readonly ExplainedCandidate[];
  readonly ruledOut: PlacementSnapshot["ruledOut"];
}

/** Ties between calls are broken at random when serving, and times to return spread; here neither. */
const NO_RANDOM = { next: (): number => 0 };

interface Choice {
  readonly verdict: Verdict;
  readonly upstream?: Upstream;
  readonly plan?: PlacementPlan;
  readonly room?: RoomDecision;
}

/** Decides on a snapshot by the functions that serve, and tells what went into it. */
export const explainPlacement = (
  snapshot: PlacementSnapshot,
  random: { next(): number } = NO_RANDOM,
): PlacementExplanation => {
  const { request, callMs, ruledOut } = snapshot;
  const choice = choose(snapshot, random);
  const { verdict, upstream, plan, room } = choice;
  return {
    ...{ verdict, upstream: upstream?.id, callMs },
    helpers: upstream && plan ? plan.helpers.map(({ id }) => id) : [],
    ...{ firstEventMs: plan?.firstEventMs, loss: plan?.loss },
    answerTokens: request?.outputTokens,
    retryAfterMs: getReturnMs(snapshot, verdict, room),
    wait: verdict === Verdict.Waits ? explainWait(snapshot, room) : undefined,
    isRoomKept: room?.isKept === true,
    ...explainQuota(snapshot, choice),
    ...{ candidates: explainCandidates(snapshot), ruledOut },
  };
};

const explainQuota = (
  { limits }: PlacementSnapshot,
  { verdict, upstream }: Choice,
): Pick<PlacementExplanation, "quotaInMs" | "isOwnerUnasked"> => {
  const limited = limits?.upstreams ?? [];
  return verdict === Verdict.WaitsForQuota
    ? { quotaInMs: limits?.openInMs, isOwnerUnasked: limited.length > 0 }
    : {
        quotaInMs: undefined,
        isOwnerUnasked: upstream !== undefined && limited.includes(upstream.id),
      };
};

/** Decides as {@link Placer.find} does when the request comes. */
const choose = (snapshot: PlacementSnapshot, random: { next(): number }): Choice => {
  const { candidates, engine, request, callMs, targetMs = Infinity, limits } = snapshot;
  if (candidates.length === 0) {
    const lack = limits?.isWaited ? Verdict.WaitsForQuota : Verdict.Limited;
    return { verdict: limits ? lack : Verdict.NoUpstream };
  }
  if (engine && request) {
    return choosePlan(snapshot, engine, request);
  }
  const upstream = pickNear(candidates, random, { callMs, targetMs });
  return upstream ? { verdict: Verdict.Sent, upstream } : { verdict: Verdict.NoUpstream };
};

const choosePlan = (
  { candidates, room, isAdmitted, latestFirstMs = Infinity }: PlacementSnapshot,
  engine: EngineSpec,
  request: PlacementRequest,
): Choice => {
  if (isAdmitted === false) {
    return { verdict: Verdict.Overloaded };
  }
  const plan = planNear(engine, request, candidates);
  if (plan) {
    return plan.firstEventMs > latestFirstMs
      ? { verdict: Verdict.TooLate, plan }
      : { verdict: Verdict.Sent, upstream: plan.upstream, plan };
  }
  if (!room) {
    return { verdict: Verdict.Waits };
  }
  const found = planNear(engine, request, room.candidates);
  if (found) {
    return { verdict: Verdict.Sent, upstream: found.upstream, plan: found };
  }
  const decision = decideRoom({ ...room, engine, request }, room.standing);
  return { verdict: decision.cause ?? Verdict.Waits, room: decision };
};

const explainWait = (
  { room }: PlacementSnapshot,
  decision: RoomDecision | undefined,
): ExplainedWait | undefined => {
  if (!room || !decision) {
    return undefined;
  }
  const { inMs, plan } = decision.found ?? {};
  const upstreams = (plan ? [plan.upstream, ...plan.helpers] : []).map(({ id }) => id);
  const shared = room.candidates.filter(({ upstream }) => !plan || upstreams.includes(upstream.id));
  const claims = shared.flatMap(({ load }) => load.claims ?? []);
  const before = new Map(claims.map(({ id, place }) => [id, { id, place }]));
  return {
    place: room.standing.place,
    behind: [...before.values()].sort((a, b) => (goesBefore(a, b) ? -1 : 1)),
    ...{ roomMs: inMs, upstreams },
    firstEventMs: plan && inMs !== undefined ? inMs + plan.firstEventMs : undefined,
    isPromised: plan !== undefined && room.mayPromise,
    unknownForMs: plan || !room.mayReject ? undefined : getUnknownWaitMs(room.targetMs),
  };
};

const explainCandidates = (snapshot: PlacementSnapshot): ExplainedCandidate[] =>
  (snapshot.room?.candidates ?? snapshot.candidates)
    .map((candidate) => explainCandidate(snapshot, candidate))
    .sort((a, b) => (a.cost ?? Infinity) - (b.cost ?? Infinity));

/** Shortest time to return that the caller would be told; most vary by up to half. */
const getReturnMs = (
  { limits, candidates }: PlacementSnapshot,
  verdict: Verdict,
  room: RoomDecision | undefined,
): number | undefined => {
  switch (verdict) {
    case Verdict.Sent:
    case Verdict.Waits:
    case Verdict.WaitsForQuota:
      return undefined;
    case Verdict.Limited:
      return getRetryAfterMs(limits?.returnInMs, NO_RANDOM);
    case Verdict.Overloaded:
    case Verdict.TooLate:
      return getRetryAfterMs(getRoomMs(candidates), NO_RANDOM);
    default:
      // A kept room is named as it is.
      return room?.isKept ? room.found?.inMs : getRetryAfterMs(room?.found?.inMs, NO_RANDOM);
  }
};

const explainCandidate = (
  { engine, request, callMs, targetMs = Infinity }: PlacementSnapshot,
  candidate: PlacementSnapshot["candidates"][number],
): ExplainedCandidate => {
  const { upstream, load, pace = 1, paceSeen } = candidate;
  const plan: PlacementPlan | undefined =
    engine && request ? planPlacement(engine, request, [candidate]) : undefined;
  return {
    ...{ upstream: upstream.id, failureDomain: upstream.failureDomain },
    ...{ inFlight: load.inFlight, slots: upstream.slots, pace, paceSeen },
    pendingReadMs: load.pendingReadMs,
    remainingMs: load.endsMs.reduce((sum, ms) => sum + ms, 0),
    unknown: load.inFlight - load.endsMs.length,
    firstEventMs: plan?.firstEventMs,
    cost: request ? plan?.loss : getCallCost(candidate, { callMs, targetMs }),
  };
};
