import { getPassMs, getReadMs } from "./engineModel.js";
import type { EngineSpec, Upstream } from "./fleetConfig.js";
import { newUpstreamLoad, type UpstreamLoad } from "./load.js";

/** Prompts are read by at most this many upstreams besides the writing one. */
export const MAX_HELPERS = 16;
/** A late answer loses about this share of what it is worth. */
const LATE_LOSS = 0.75;
/** Share of an objective at which it begins to be at risk. */
const RISK_SHARE = 0.85;
/** Weight of the time to the first event while it is within its objective. */
const SPEED_WEIGHT = 0.25;
/** Cost of the first writer with short pauses on an upstream that has none. */
const OPEN_COST = 0.3;
/** Cost of a writer with short pauses on an upstream that is nearly empty. */
const SPREAD_COST = 1;
/** Pauses up to this are short: their writers are kept together. */
const SHORT_GAP_MS = 300;
/** Cost of each millisecond read on an upstream with short pauses. */
const READ_BESIDE_COST = 0.002;
/** Weight of the delay of a prompt whose own part is overtaken. */
const OVERTAKEN_WEIGHT = 0.5;
/** Memory of an engine that placement leaves free. */
const KV_HEADROOM = 0.05;
/** Cost of an upstream's failures, by its failure rate. */
const FAILURE_COST = 2;
/** Parts smaller than this aren't worth another member. */
const MIN_PART_TOKENS = 8_000;

/** An upstream that may take the request. */
export interface PlacementCandidate {
  readonly upstream: Upstream;
  readonly load: UpstreamLoad;
  /** Recent share of failed requests, 0 to 1. */
  readonly failureRate: number;
}

/** A prompt that needs a place. */
export interface PlacementRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maxGapMs: number;
  /** Time left to the objective for the first event, milliseconds. */
  readonly targetLeftMs: number;
  readonly value: number;
}

/** Where a prompt goes and what that is expected to cost. */
export interface PlacementPlan {
  readonly writer: Upstream;
  readonly helpers: readonly Upstream[];
  /** Tokens of the prompt's memory that each helper must hold, 0 for none. */
  readonly heldTokens: readonly number[];
  /** Reading time of each member's part. */
  readonly readMs: number;
  readonly firstEventMs: number;
  /** Expected loss, in the unit of {@link PlacementRequest.value}. */
  readonly loss: number;
}

/** Worth of a prompt, in about the unit of a short one. */
export const estimateValue = (tokens: number): number => 1 + tokens / 10_000;

/** 0 while `ms` is well within `limitMs`, 1 at the limit and beyond. */
export const getLateRisk = (ms: number, limitMs: number): number => {
  if (limitMs <= 0) {
    return 1;
  }
  const start = limitMs * RISK_SHARE;
  return Math.min(1, Math.max(0, (ms - start) / (limitMs - start)));
};

interface Scored {
  readonly candidate: PlacementCandidate;
  /** Time until its part is read when it only helps. */
  readonly helpMs: number;
  /** Time until its part is read when it writes the answer. */
  readonly writeMs: number;
  readonly cost: number;
}

const hasShortPauses = (load: UpstreamLoad): boolean => load.minGapMs <= SHORT_GAP_MS;

/** Loss of those at an upstream when its next pass reads for `readMs` longer. */
const getHarm = (load: UpstreamLoad, passMs: number, readMs: number): number => {
  const beforeMs = passMs + load.pendingReadMs;
  const afterMs = beforeMs + readMs;
  let harm = 0;
  for (const { maxGapMs, value } of load.writers) {
    harm += value * (getLateRisk(afterMs, maxGapMs) - getLateRisk(beforeMs, maxGapMs));
  }
  for (const { targetLeftMs, value, isWriter } of load.readers) {
    harm += value * (getLateRisk(afterMs, targetLeftMs) - getLateRisk(beforeMs, targetLeftMs));
    // A part that is passed once may be passed again by those that come later.
    harm += isWriter
      ? OVERTAKEN_WEIGHT * value * Math.min(1, readMs / Math.max(1, targetLeftMs))
      : 0;
  }
  return LATE_LOSS * harm;
};

/** Scores one upstream as a member that reads for `readMs`. */
const scoreMember = (
  engine: EngineSpec,
  candidate: PlacementCandidate,
  readMs: number,
  maxGapMs: number,
): Scored => {
  const { load } = candidate;
  const passMs = getPassMs(engine, load.writers.length, load.contextTokens);
  const harm = getHarm(load, passMs, readMs);
  const isShort = maxGapMs <= SHORT_GAP_MS;
  const beside = !isShort && hasShortPauses(load) ? READ_BESIDE_COST * readMs : 0;
  const restMs = load.writers.length > 0 ? passMs / 2 : 0;
  const helpMs = restMs + load.pendingHelpMs + readMs;
  return {
    candidate,
    helpMs,
    writeMs: restMs + load.pendingReadMs + readMs,
    cost: harm + beside + FAILURE_COST * candidate.failureRate + helpMs / 1_000,
  };
};

const getFreeKv = (engine: EngineSpec, load: UpstreamLoad): number =>
  engine.kvTokens * (1 - KV_HEADROOM) - load.kvTokens;

/** Splits memory that the writer lacks over helpers; undefined when they lack it too. */
const splitMemory = (
  engine: EngineSpec,
  writer: PlacementCandidate,
  helpers: readonly PlacementCandidate[],
  kvTokens: number,
): number[] | undefined => {
  let missing = kvTokens - getFreeKv(engine, writer.load);
  const held = helpers.map(({ load }) => {
    const part = Math.floor(Math.max(0, Math.min(missing, getFreeKv(engine, load) * 0.8)));
    missing -= part;
    return part;
  });
  return missing > 0 ? undefined : held;
};

/** Member that has most memory to spare and fewest answers to write. */
const pickWriter = (
  engine: EngineSpec,
  members: readonly Scored[],
  kvTokens: number,
  isShort: boolean,
): Scored | undefined => {
  const getRank = ({ candidate, cost, writeMs }: Scored): number => {
    const { load, upstream } = candidate;
    const crowding = load.inFlight >= upstream.slots ? 10 : load.inFlight / upstream.slots;
    const lack = Math.max(0, kvTokens - getFreeKv(engine, load)) / engine.kvTokens;
    return (
      cost + writeMs / 1_000 + crowding + 20 * lack + (!isShort && hasShortPauses(load) ? 1 : 0)
    );
  };
  return members.reduce<Scored | undefined>(
    (best, member) => (!best || getRank(member) < getRank(best) ? member : best),
    undefined,
  );
};

/** Cost of an answer with short pauses where it keeps an upstream from long reading. */
const getSpreadCost = ({ load, upstream }: PlacementCandidate): number => {
  const free = 1 - Math.min(1, load.inFlight / upstream.slots);
  return SPREAD_COST * free + (hasShortPauses(load) ? 0 : OPEN_COST);
};

const planWith = (
  engine: EngineSpec,
  req: PlacementRequest,
  members: readonly Scored[],
  readMs: number,
): PlacementPlan | undefined => {
  const isShort = req.maxGapMs <= SHORT_GAP_MS;
  const kvTokens = req.promptTokens + req.outputTokens;
  const writer = pickWriter(engine, members, kvTokens, isShort);
  if (!writer) {
    return undefined;
  }
  const helpers = members.filter((member) => member !== writer).map(({ candidate }) => candidate);
  const heldTokens = splitMemory(engine, writer.candidate, helpers, kvTokens);
  if (!heldTokens) {
    return undefined;
  }
  const waitMs = Math.max(
    ...members.map((member) => (member === writer ? member.writeMs : member.helpMs)),
  );
  const firstEventMs = waitMs + getPassMs(engine, writer.candidate.load.writers.length + 1, 0);
  const opening = isShort ? getSpreadCost(writer.candidate) : 0;
  const late = LATE_LOSS * req.value * getLateRisk(firstEventMs, Math.max(1, req.targetLeftMs));
  const speed = (SPEED_WEIGHT * req.value * firstEventMs) / Math.max(1, req.targetLeftMs);
  const crowded = writer.candidate.load.inFlight >= writer.candidate.upstream.slots ? req.value : 0;
  const memberCost = members.reduce((sum, { cost }) => sum + cost, 0);
  return {
    writer: writer.candidate.upstream,
    helpers: helpers.map(({ upstream }) => upstream),
    heldTokens,
    readMs,
    firstEventMs,
    loss: memberCost + late + speed + opening + crowded,
  };
};

/** Most members that are worth it for a prompt, at least one. */
const getMaxMembers = (tokens: number, candidates: number): number =>
  Math.max(1, Math.min(candidates, MAX_HELPERS + 1, Math.floor(tokens / MIN_PART_TOKENS)));

/**
 * Chooses the upstreams that read a prompt together and the one that writes
 * its answer, by the least expected loss to this request and to those whose
 * pauses it stretches. Undefined when no choice has the memory.
 */
export const planPlacement = (
  engine: EngineSpec,
  req: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): PlacementPlan | undefined => {
  let best: PlacementPlan | undefined;
  const most = getMaxMembers(req.promptTokens, candidates.length);
  for (let count = 1; count <= most; count++) {
    const readMs = getReadMs(engine, req.promptTokens, count);
    const scored = candidates
      .map((candidate) => scoreMember(engine, candidate, readMs, req.maxGapMs))
      .sort((a, b) => a.cost - b.cost);
    if (count === 1) {
      for (const member of scored) {
        const plan = planWith(engine, req, [member], readMs);
        best = plan && (!best || plan.loss < best.loss) ? plan : best;
      }
    } else {
      const plan = planWith(engine, req, scored.slice(0, count), readMs);
      best = plan && (!best || plan.loss < best.loss) ? plan : best;
    }
  }
  return best;
};

/** Plan on idle upstreams, against which waiting is weighed. */
export const planIdle = (
  engine: EngineSpec,
  req: PlacementRequest,
  upstreams: readonly Upstream[],
): PlacementPlan | undefined =>
  planPlacement(
    engine,
    req,
    upstreams.map((upstream) => ({ upstream, load: newUpstreamLoad(), failureRate: 0 })),
  );

/** Chooses an upstream for a call to a plain service; undefined from an empty list. */
export const pickServiceUpstream = (
  candidates: readonly PlacementCandidate[],
  random: { next(): number },
): Upstream | undefined => {
  let best: { upstream: Upstream; cost: number } | undefined;
  for (const { upstream, load, failureRate } of candidates) {
    const cost = load.inFlight / upstream.slots + FAILURE_COST * failureRate + random.next() * 0.05;
    if (!best || cost < best.cost) {
      best = { upstream, cost };
    }
  }
  return best?.upstream;
};
