import { newDecodePlan, type DecodePlan } from "./decodePlan.js";
import { getPassMs, getReadMs } from "./engineModel.js";
import type { EngineSpec, Upstream } from "./fleetConfig.js";
import {
  getDelayCost,
  getLatenessLoss,
  getLateRisk,
  getOwnDelayCost,
  LATE_LOSS,
  type Prospect,
} from "./lateness.js";
import { getEndMs, type UpstreamLoad } from "./load.js";
import { getFreeTokens, splitTokens, type Release } from "./room/memory.js";

/** Most upstreams that prefill a prompt besides the one that decodes the answer. */
export const MAX_HELPERS = 16;
/** Cost of the first answer with a short gap objective on an upstream that has none. */
const OPEN_COST = 0.3;
/** Cost of an answer with a short gap objective on an upstream that is nearly empty. */
const SPREAD_COST = 1;
/** Weight of the delay of a prompt when another prefill goes before its decoder's part. */
const OVERTAKEN_WEIGHT = 0.8;
/** Slots become free at irregular times, so the expected wait is taken this many times. */
const QUEUE_RISK = 2;
/** The same for a slot whose request has a predicted end. */
const END_RISK = 1.5;
/** Cost of an upstream, multiplied by its failure rate. */
export const FAILURE_COST = 2;
/** Cost of an upstream that names a limit, and the same for each second of prefill there. */
export const LIMITED_COST = 2;
/** A full upstream costs this much to decode at; one with free slots their taken share. */
const FULL_COST = 10;
/** Cost of a decoder that lacks as much KV memory as an engine has; less in proportion. */
const LACKING_MEMORY_COST = 20;
/** Cost of an answer without a short gap objective on an upstream that has answers with one. */
const MIXED_GAPS_COST = 1;
/** Share of a running pass that is left on average when a prompt arrives. */
const PASS_LEFT_SHARE = 0.5;
const MS_PER_S = 1_000;
/** Another member isn't worth it when the parts get smaller than this. */
const MIN_PART_TOKENS = 8_000;

/** An upstream that may take the request. */
export interface PlacementCandidate {
  readonly upstream: Upstream;
  readonly load: UpstreamLoad;
  /** Recent share of failed requests, 0 to 1. */
  readonly failureRate: number;
  /** How far to avoid the upstream because it names a limit, 0 to 1. */
  readonly avoidance: number;
  /** Cost of the bytes and the time that a crossing of failure domains takes; only where distance counts. */
  readonly crossingCost?: number;
  /** Time that work takes there, as a multiple of the usual; its load has the times that this makes. */
  readonly pace?: number;
  /** When memory becomes free there; needed only where the load has claims. */
  readonly releases?: readonly Release[] | undefined;
}

/** A prompt to place. */
export interface PlacementRequest extends Prospect {
  readonly promptTokens: number;
  /** Expected number of tokens of the answer. */
  readonly outputTokens: number;
  /** Tokens to hold for the answer in memory; the expected ones by default. */
  readonly memoryTokens?: number;
  /** Factor by which the answer takes longer than its passes, as prompts are prefilled meanwhile. */
  readonly stretch?: number;
  /** Length and times come from what was seen, not from what callers state at most. */
  readonly isLearned?: boolean;
  /** Objective for the longest gap between events, milliseconds. */
  readonly maxGapMs: number;
  /**
   * Gap objectives below this are short. Their answers share upstreams, which leaves
   * others free for long prefills.
   */
  readonly shortGapMs: number;
}

/** Upstreams for a prompt, with the expected times and loss. */
export interface PlacementPlan {
  /** The decoder: the upstream that decodes the answer, and prefills a part of the prompt. */
  readonly upstream: Upstream;
  /** Upstreams that prefill parts of the prompt. */
  readonly helpers: readonly Upstream[];
  /** Tokens of KV memory to reserve at each helper, 0 for none. */
  readonly heldTokens: readonly number[];
  /** Prefill time of each member's part, milliseconds. */
  readonly readMs: number;
  /** Expected time to the first event, milliseconds. */
  readonly firstEventMs: number;
  /** Expected loss, in the unit of {@link PlacementRequest.value}. */
  readonly loss: number;
  /** The part of it that callers feel: objectives missed, failures and queues. */
  readonly stake: number;
  readonly decode: DecodePlan;
}

/** True when the plan's first event is expected after the objective. */
export const isExpectedLate = (plan: PlacementPlan, { targetLeftMs }: Prospect): boolean =>
  plan.firstEventMs > targetLeftMs;

interface PlanOptions {
  /** Prefill time of each member's part, milliseconds. */
  readonly readMs: number;
  /** The best member unless given. */
  readonly decoder?: ScoredMember | undefined;
}

/** A candidate with its times and cost as a member of a plan. */
interface ScoredMember {
  readonly candidate: PlacementCandidate;
  /** Time until its part is prefilled when it only helps. */
  readonly helperReadyMs: number;
  /** Time until its part is prefilled when it also decodes the answer. */
  readonly decoderReadyMs: number;
  readonly cost: number;
  /** The part of it that callers feel. */
  readonly stake: number;
  /** KV memory that the prompt may use there, in tokens. */
  readonly freeTokens: number;
}

const isShort = (req: PlacementRequest): boolean => req.maxGapMs < req.shortGapMs;

const hasShortGaps = (load: UpstreamLoad, req: PlacementRequest): boolean =>
  load.minGapMs < req.shortGapMs;

/** Added loss of the requests at an upstream when its next pass prefills for `readMs` longer. */
const getAddedLoss = (load: UpstreamLoad, passMs: number, readMs: number): number => {
  const beforeMs = passMs + load.pendingReadMs;
  const afterMs = beforeMs + readMs;
  let addedLoss = 0;
  for (const { maxGapMs, value } of load.decodes) {
    addedLoss +=
      LATE_LOSS * value * (getLateRisk(afterMs, maxGapMs) - getLateRisk(beforeMs, maxGapMs));
  }
  for (const prefill of load.prefills) {
    addedLoss += getLatenessLoss(prefill, afterMs) - getLatenessLoss(prefill, beforeMs);
    // A decoder's part that is overtaken once may be overtaken again by later parts.
    addedLoss += prefill.isDecoder ? OVERTAKEN_WEIGHT * getDelayCost(prefill, readMs) : 0;
  }
  return addedLoss;
};

/** Scores one upstream as a member that prefills for `readMs`. */
const scoreMember = (
  engine: EngineSpec,
  candidate: PlacementCandidate,
  { req, readMs: usualReadMs }: { req: PlacementRequest; readMs: number },
): ScoredMember => {
  const { load, pace = 1 } = candidate;
  const readMs = pace * usualReadMs;
  const passMs = pace * getPassMs(engine, load.decoding, load.contextTokens);
  const addedLoss = getAddedLoss(load, passMs, readMs);
  const passLeftMs = load.decoding > 0 ? passMs * PASS_LEFT_SHARE : 0;
  const helperReadyMs = passLeftMs + load.pendingHelpMs + readMs;
  const decoderReadyMs = passLeftMs + load.pendingReadMs + readMs;
  const endMs = load.claims
    ? decoderReadyMs + newDecodePlan(engine, req, candidate).writeMs
    : Infinity;
  const stake =
    addedLoss +
    FAILURE_COST * candidate.failureRate +
    LIMITED_COST * candidate.avoidance * (1 + readMs / MS_PER_S);
  return {
    ...{ candidate, helperReadyMs, decoderReadyMs, stake },
    freeTokens: getFreeTokens(engine, candidate, endMs),
    cost: stake + helperReadyMs / MS_PER_S + (candidate.crossingCost ?? 0),
  };
};

/** KV memory that the prompt and its answer are likely to need, tokens. */
export const getNeededKv = ({
  promptTokens,
  memoryTokens,
  outputTokens,
}: Pick<PlacementRequest, "promptTokens" | "memoryTokens" | "outputTokens">): number =>
  promptTokens + (memoryTokens ?? outputTokens);

/** Picks the member with the most free memory and the fewest answers to decode. */
const pickDecoder = (
  engine: EngineSpec,
  members: readonly ScoredMember[],
  req: PlacementRequest,
): ScoredMember | undefined => {
  const kvTokens = getNeededKv(req);
  const getPenalty = ({ candidate, cost, decoderReadyMs, freeTokens }: ScoredMember): number => {
    const { load, upstream } = candidate;
    const crowding = load.inFlight >= upstream.slots ? FULL_COST : load.inFlight / upstream.slots;
    const lackingShare = Math.max(0, kvTokens - freeTokens) / engine.kvTokens;
    return (
      cost +
      decoderReadyMs / MS_PER_S +
      crowding +
      LACKING_MEMORY_COST * lackingShare +
      (!isShort(req) && hasShortGaps(load, req) ? MIXED_GAPS_COST : 0)
    );
  };
  return members.reduce<ScoredMember | undefined>(
    (best, member) => (!best || getPenalty(member) < getPenalty(best) ? member : best),
    undefined,
  );
};

/** Cost of an answer with a short gap objective on an upstream that could take long prefills instead. */
const getSpreadCost = ({ load, upstream }: PlacementCandidate, req: PlacementRequest): number => {
  const freeShare = 1 - Math.min(1, load.inFlight / upstream.slots);
  return SPREAD_COST * freeShare + (hasShortGaps(load, req) ? 0 : OPEN_COST);
};

/** Time until a slot of the upstream becomes free, when the answers there are like this one. */
const getQueueMs = (
  engine: EngineSpec,
  req: PlacementRequest,
  { load, upstream }: PlacementCandidate,
): number => {
  const waiting = load.inFlight - load.deferred + 1 - upstream.slots;
  if (waiting <= 0) {
    return 0;
  }
  const endMs = req.isLearned ? getEndMs(load, waiting) : undefined;
  if (endMs !== undefined) {
    return END_RISK * endMs;
  }
  const passMs = getPassMs(engine, upstream.slots, load.contextTokens);
  const answerMs = Math.ceil(req.outputTokens / engine.stepsPerPass) * passMs;
  return (QUEUE_RISK * waiting * answerMs) / upstream.slots;
};

/**
 * Probability that requests of which this process doesn't know yet have taken all free slots of an
 * upstream, when their number has a Poisson distribution.
 */
const getOverflowRisk = ({ load, upstream }: PlacementCandidate): number => {
  const free = upstream.slots - load.inFlight;
  if (load.unseen === 0 || free <= 0) {
    return 0;
  }
  let term = Math.exp(-load.unseen);
  let within = 0;
  for (let count = 0; count < free; count++) {
    within += term;
    term *= load.unseen / (count + 1);
  }
  return Math.max(0, 1 - within);
};

/** Plans the prompt on exactly these members; undefined when they lack the KV memory. */
const planMembers = (
  engine: EngineSpec,
  req: PlacementRequest,
  members: readonly ScoredMember[],
  { readMs, decoder = pickDecoder(engine, members, req) }: PlanOptions,
): PlacementPlan | undefined => {
  const kvTokens = getNeededKv(req);
  if (!decoder) {
    return undefined;
  }
  const helpers = members.filter((member) => member !== decoder);
  const heldTokens = splitTokens(
    kvTokens,
    decoder.freeTokens,
    helpers.map(({ freeTokens }) => freeTokens),
  );
  if (!heldTokens) {
    return undefined;
  }
  const waitMs = Math.max(
    ...members.map((member) => (member === decoder ? member.decoderReadyMs : member.helperReadyMs)),
  );
  const queueMs = getQueueMs(engine, req, decoder.candidate);
  const { load, pace = 1 } = decoder.candidate;
  const passMs = pace * getPassMs(engine, load.decoding + 1, 0);
  const firstEventMs = queueMs + waitMs + passMs;
  const spreadCost = isShort(req) ? getSpreadCost(decoder.candidate, req) : 0;
  const lateLoss = getLatenessLoss(req, firstEventMs);
  const delayCost = getOwnDelayCost(req, firstEventMs);
  const overflowLoss = LATE_LOSS * req.value * getOverflowRisk(decoder.candidate);
  const memberCost = members.reduce((sum, { cost }) => sum + cost, 0);
  const queueLoss = queueMs > 0 ? req.value : 0;
  return {
    upstream: decoder.candidate.upstream,
    helpers: helpers.map(({ candidate }) => candidate.upstream),
    heldTokens,
    readMs,
    firstEventMs,
    loss: memberCost + lateLoss + delayCost + spreadCost + overflowLoss + queueLoss,
    stake: members.reduce((sum, { stake }) => sum + stake, lateLoss + overflowLoss + queueLoss),
    decode: newDecodePlan(engine, req, decoder.candidate),
  };
};

/** Largest number of members that is worth it for a prompt, at least one. */
export const getMaxMembers = (tokens: number, candidates: number): number =>
  Math.max(1, Math.min(candidates, MAX_HELPERS + 1, Math.floor(tokens / MIN_PART_TOKENS)));

/** True for a prompt that isn't worth a second upstream. */
export const isForOneUpstream = (tokens: number): boolean => getMaxMembers(tokens, Infinity) === 1;

/** Plans the prompt on the members with the most free memory, which hold it if any do. */
const planRoomiest = (
  engine: EngineSpec,
  req: PlacementRequest,
  scored: readonly ScoredMember[],
  { count, readMs }: { count: number; readMs: number },
): PlacementPlan | undefined => {
  const members = [...scored].sort((a, b) => b.freeTokens - a.freeTokens).slice(0, count);
  return planMembers(engine, req, members, { readMs, decoder: members[0] });
};

/**
 * Chooses the upstreams that prefill a prompt together and the one among them
 * that decodes its answer, by the least expected loss to this request and to the
 * in-flight requests that it delays. Undefined when no choice has the KV memory.
 */
export const planPlacement = (
  engine: EngineSpec,
  req: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementPlan | undefined => {
  let best: PlacementPlan | undefined;
  // Each part of a prompt is work for an upstream in need, and so are the orders for its memory.
  const unlimited = candidates.filter(({ avoidance }) => avoidance === 0);
  const maxMembers = Math.max(1, getMaxMembers(req.promptTokens, unlimited.length));
  for (let count = 1; count <= maxMembers; count++) {
    const readMs = getReadMs(engine, req.promptTokens, count);
    const scored = (count === 1 ? candidates : unlimited)
      .map((candidate) => scoreMember(engine, candidate, { req, readMs }))
      .sort((a, b) => a.cost - b.cost);
    const plans =
      count === 1
        ? scored.map((member) => planMembers(engine, req, [member], { readMs }))
        : [
            planMembers(engine, req, scored.slice(0, count), { readMs }) ??
              planRoomiest(engine, req, scored, { count, readMs }),
          ];
    for (const plan of plans) {
      best = plan && (!best || plan.loss < best.loss) ? plan : best;
    }
  }
  return best;
};
