import {
  FateState,
  LeaseAction,
  leaseBodySchema,
  MAX_STRIKES,
  parseClaim,
  poisonStateSchema,
  RecordKind,
  sha256,
} from "@lycheepulley/core";
import { CONTROL_STREAM, getPoolDuty } from "@lycheepulley/serving";

import { RequestKind, type Caller } from "./Caller.js";
import { POISON } from "./FakeEngine.js";
import type { World } from "./World.js";

/** The eight promises of the brief. */
export const PROMISES = [
  "ends in time",
  "no memory lost",
  "whole answer",
  "not run is true",
  "at most once",
  "leaving gets no work",
  "drain cuts nothing",
  "configuration in force",
] as const;
export type PromiseName = (typeof PROMISES)[number];

/** A promise that a cell saw broken. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Text of the request at whose steps faults strike. */
export const MAIN_PROMPT = "main";

/** Allowance for the step that notices a deadline. */
const END_SLACK_MS = 500;
/** Lease under which the matrix's pool gets its orders. */
const POOL_DUTY = getPoolDuty("m");
/** An order on its way when its holder is superseded may still arrive. */
const ORDER_WINDOW_MS = 500;
const LEAVING_LIMIT_MS = 3_000;
const IN_FORCE_LIMIT_MS = 3_000;

export interface CheckOptions {
  readonly world: World;
  readonly caller: Caller;
  /** Time by which callers' waits may be longer: pauses of their processes. */
  readonly pausedMs: number;
  /** Requests that a drained process still ran when it left. */
  readonly cutByDrain: readonly string[];
  /** The main prompt may look poisonous: two engines died under it alone. */
  readonly mayBlockMain: boolean;
  /** Monotonic time from which the log was last reachable and every process ran. */
  readonly stableSinceMs: number;
}

const getRuns = (world: World, requestId: string): { readonly atMs: number }[] => {
  const onEngines = world.engines.flatMap(({ runs }) => runs);
  const onServices = world.services.flatMap(({ runs }) => runs);
  return [
    ...onEngines.filter(({ attemptId }) => attemptId.startsWith(`${requestId}-`)),
    ...onServices.filter((run) => run.requestId === requestId),
  ];
};

const checkEnds = ({ caller, pausedMs }: CheckOptions): string[] =>
  caller.records
    .filter(({ process }) => !process.clock.isDead)
    .flatMap((record) => {
      const limitMs = record.patienceMs + END_SLACK_MS + pausedMs;
      const tookMs = (record.endedMs ?? Infinity) - record.startedMs;
      return tookMs > limitMs ? [`${record.requestId} took ${String(tookMs)} ms`] : [];
    });

/** Runs that began after their callers' time was over. */
const checkLateRuns = ({ world, caller }: CheckOptions): string[] =>
  caller.records.flatMap(({ requestId, startedMs, patienceMs }) => {
    const untilMs = startedMs + patienceMs + END_SLACK_MS;
    const late = getRuns(world, requestId).filter(({ atMs }) => atMs > untilMs);
    return late.map(() => `${requestId} was sent after its deadline`);
  });

const checkMemory = ({ world }: CheckOptions): string[] =>
  world.engines
    .filter(({ kvUsedTokens: kvUsed }) => kvUsed > 0)
    .map(({ name }) => `${name} holds memory`);

const checkWhole = ({ caller }: CheckOptions): string[] =>
  caller.records
    .filter(({ told, expectedText: expected }) => told === "finished" && expected !== undefined)
    .filter(({ text, expectedText: expected }) => text !== expected)
    .map(({ requestId, text }) => `${requestId} got "${text}"`);

const checkNotRun = ({ world, caller }: CheckOptions): string[] => [
  ...caller.records
    .filter(({ told }) => told === "not_run" || told === "refused_until")
    .filter((record) => getRuns(world, record.requestId).length > 0)
    .map(({ requestId }) => `${requestId} was told not run but ran`),
  ...caller.records
    .filter(({ process, told }) => !process.clock.isDead && told !== undefined)
    .filter(({ process, requestId, told }) => {
      const state = process.node.fates.getFate(requestId)?.state;
      return (state === FateState.Finished) !== (told === "finished");
    })
    .map(({ requestId }) => `${requestId} has another fate than its caller was told`),
];

const checkOnce = ({ world, caller }: CheckOptions): string[] => {
  const runs = [
    ...world.engines.flatMap((engine) => engine.runs),
    ...world.services.flatMap((service) => service.runs),
  ].filter(({ key }) => key !== undefined);
  const twice = runs.filter(({ key }, i) => runs.findIndex((run) => run.key === key) !== i);
  const ran = caller.records.filter(
    ({ told, key }) => told === "finished" && key !== undefined && !runs.some((r) => r.key === key),
  );
  const forgotten = world.getClaimStreams().flatMap((stream) =>
    world
      .foldStream(stream)
      .getRegistersOfKind(RecordKind.Claim)
      .filter((register) => parseClaim(register) === undefined),
  );
  return [
    ...twice.map(({ key }) => `key ${String(key)} ran more than once`),
    ...ran.map(({ requestId }) => `${requestId} was told finished but never ran`),
    ...forgotten.map(({ key }) => `claim ${key} is unreadable`),
  ];
};

const checkLeaving = ({ world }: CheckOptions): string[] =>
  world.engines.flatMap(({ name, runs }) => {
    const since = world.getLeavingSinceMs(name);
    const late = runs.filter(({ atMs }) => since !== undefined && atMs > since + LEAVING_LIMIT_MS);
    return late.map(({ attemptId }) => `${name} got ${attemptId} after it began to leave`);
  });

const checkConfig = ({ world, stableSinceMs: calmSinceMs }: CheckOptions): string[] => {
  const agreed = world.getCommittedRevision();
  const entries = world.log.getEntries(CONTROL_STREAM);
  const acceptedMs = entries.findLast(({ records }) =>
    records.some(({ kind }) => kind === RecordKind.Config),
  )?.timeMs;
  const offsetMs = world.clock.wall() - world.clock.now();
  const limitMs = Math.max((acceptedMs ?? 0) - offsetMs, calmSinceMs) + IN_FORCE_LIMIT_MS;
  return world.liveProcesses.flatMap(({ name, revisions }) => {
    const isFalling = revisions.some(
      ({ revision }, i) => i > 0 && revision <= (revisions[i - 1]?.revision ?? 0),
    );
    const newest = revisions.at(-1);
    const isBehind = newest?.revision !== agreed || newest.atMs > limitMs;
    return [
      ...(isFalling ? [`${name} went back to an older revision`] : []),
      ...(isBehind
        ? [`${name} has revision ${String(newest?.revision)} of ${String(agreed)}`]
        : []),
    ];
  });
};

/** A later epoch of the pool's lease was on the log well before the order came. */
const isSuperseded = (world: World, fence: number, atMs: number): boolean => {
  const offsetMs = world.clock.wall() - world.clock.now();
  return world.log.getEntries(CONTROL_STREAM).some(
    ({ timeMs, records }) =>
      timeMs - offsetMs < atMs - ORDER_WINDOW_MS &&
      records.some(({ kind, key, body }) => {
        const lease = kind === RecordKind.Lease ? leaseBodySchema.safeParse(body).data : undefined;
        const isClaim = lease?.action === LeaseAction.Claim && key === POOL_DUTY;
        return isClaim && lease.epoch > fence;
      }),
  );
};

/** Orders: fencing engines never take an older number, the others end in the wanted state. */
const checkOrders = ({ world }: CheckOptions): string[] =>
  world.engines.flatMap(({ name, orders, isFencing, state }) => {
    const fences = orders.filter(({ accepted }) => accepted).map(({ order }) => order.fence);
    const falls = isFencing && fences.some((fence, i) => fence < (fences[i - 1] ?? 0));
    const stale = orders.filter(
      ({ accepted, order, atMs }) => accepted && isSuperseded(world, order.fence, atMs),
    );
    const wanted = world.liveProcesses[0]?.node.cfg?.models["m"]?.version;
    const isWrong = wanted !== undefined && state.version !== wanted;
    return [
      ...(falls ? [`${name} took an order with an older fencing number`] : []),
      ...stale.map(({ order }) => `${name} took order ${String(order.fence)} of an old holder`),
      ...(isWrong ? [`${name} has version ${state.version}, not ${wanted}`] : []),
    ];
  });

/** A poisonous prompt takes a bounded number of engines, and blocks nobody else's prompt. */
const checkPoison = ({ world, caller, mayBlockMain }: CheckOptions): string[] => {
  const fold = world.foldStream(CONTROL_STREAM);
  const bodies = world.engines.flatMap((engine) => engine.crashingBodies);
  const tooMany = [...new Set(bodies)].filter(
    (body) => bodies.filter((other) => other === body).length > MAX_STRIKES,
  );
  const innocents = caller.records
    .filter(({ kind, prompt }) => kind !== RequestKind.Save && !prompt.includes(POISON))
    .filter(({ prompt }) => !(mayBlockMain && prompt === MAIN_PROMPT));
  const blocked = innocents.filter(({ prompt }) => {
    const body = fold.getRegister(RecordKind.Poison, sha256(prompt))?.body;
    return (poisonStateSchema.safeParse(body).data?.strikes ?? 0) >= MAX_STRIKES;
  });
  return [
    ...tooMany.map((body) => `${body} took more than ${String(MAX_STRIKES)} engines`),
    ...blocked.map(({ requestId }) => `innocent ${requestId} is blocked`),
  ];
};

/** Every promise that the cell saw broken. */
export const checkPromises = (options: CheckOptions): Violation[] => {
  const found: readonly (readonly [PromiseName, readonly string[]])[] = [
    ["ends in time", [...checkEnds(options), ...checkLateRuns(options), ...checkPoison(options)]],
    ["no memory lost", checkMemory(options)],
    ["whole answer", checkWhole(options)],
    ["not run is true", checkNotRun(options)],
    ["at most once", checkOnce(options)],
    ["leaving gets no work", checkLeaving(options)],
    ["drain cuts nothing", options.cutByDrain],
    ["configuration in force", [...checkConfig(options), ...checkOrders(options)]],
  ];
  return found.flatMap(([promise, details]) => details.map((detail) => ({ promise, detail })));
};
