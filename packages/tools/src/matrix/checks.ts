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

/** Promises that every cell checks. */
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

/** A promise that was broken in a cell. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Text of the request at whose steps faults are injected. */
export const MAIN_PROMPT = "main";

/** Allowance for detecting that a deadline has expired. */
const END_ALLOWANCE_MS = 500;
/** Lease whose holder sends orders to the engines of the matrix. */
const POOL_LEASE = getPoolDuty("m");
/** An order that was in flight when its holder lost the lease may arrive within this time. */
const ORDER_IN_FLIGHT_MS = 500;
/** Time within which every process must stop sending to a leaving engine. */
const LEAVING_LIMIT_MS = 3_000;
/** Time within which every process must apply an accepted configuration. */
const IN_FORCE_LIMIT_MS = 3_000;

export interface CheckOptions {
  readonly world: World;
  readonly caller: Caller;
  /** Time by which requests may exceed their deadline, because processes were paused. */
  readonly pausedMs: number;
  /** Requests that a process still ran when its drain ended. */
  readonly cutByDrain: readonly string[];
  /**
   * Whether the main prompt may be blocked as poisonous, since two engines crashed while running
   * it.
   */
  readonly mayBlockMain: boolean;
  /** Monotonic time since which the log has been reachable and no process paused. */
  readonly stableSinceMs: number;
}

/** Runs of a request by the records of engines and services. */
const getRuns = (world: World, requestId: string): { readonly atMs: number }[] => {
  const engineRuns = world.engines.flatMap(({ runs }) => runs);
  const serviceRuns = world.services.flatMap(({ runs }) => runs);
  return [
    ...engineRuns.filter(({ attemptId }) => attemptId.startsWith(`${requestId}-`)),
    ...serviceRuns.filter((run) => run.requestId === requestId),
  ];
};

const checkEnds = ({ caller, pausedMs }: CheckOptions): string[] =>
  caller.records
    .filter(({ process }) => !process.clock.isDead)
    .flatMap((record) => {
      const limitMs = record.patienceMs + END_ALLOWANCE_MS + pausedMs;
      const tookMs = (record.endedMs ?? Infinity) - record.startedMs;
      return tookMs > limitMs ? [`${record.requestId} took ${String(tookMs)} ms`] : [];
    });

/** Runs that began after the deadline of their request. */
const checkLateRuns = ({ world, caller }: CheckOptions): string[] =>
  caller.records.flatMap(({ requestId, startedMs, patienceMs }) => {
    const untilMs = startedMs + patienceMs + END_ALLOWANCE_MS;
    const late = getRuns(world, requestId).filter(({ atMs }) => atMs > untilMs);
    return late.map(() => `${requestId} was sent after its deadline`);
  });

const checkMemory = ({ world }: CheckOptions): string[] =>
  world.engines
    .filter(({ kvUsedTokens }) => kvUsedTokens > 0)
    .map(({ name }) => `${name} still holds KV memory`);

const checkWhole = ({ caller }: CheckOptions): string[] =>
  caller.records
    .filter(({ told, expectedText }) => told === "finished" && expectedText !== undefined)
    .filter(({ text, expectedText }) => text !== expectedText)
    .map(({ requestId, text }) => `${requestId} got "${text}"`);

const checkNotRun = ({ world, caller }: CheckOptions): string[] => [
  ...caller.records
    .filter(({ told }) => told === "not_run" || told === "refused_until")
    .filter((record) => getRuns(world, record.requestId).length > 0)
    .map(({ requestId }) => `${requestId} was reported as not run but ran`),
  ...caller.records
    .filter(({ process, told }) => !process.clock.isDead && told !== undefined)
    .filter(({ process, requestId, told }) => {
      const state = process.node.fates.getFate(requestId)?.state;
      return (state === FateState.Finished) !== (told === "finished");
    })
    .map(
      ({ requestId }) => `${requestId} has a fate that differs from the result its caller received`,
    ),
];

const checkOnce = ({ world, caller }: CheckOptions): string[] => {
  const runs = [
    ...world.engines.flatMap((engine) => engine.runs),
    ...world.services.flatMap((service) => service.runs),
  ].filter(({ key }) => key !== undefined);
  const duplicates = runs.filter(({ key }, i) => runs.findIndex((run) => run.key === key) !== i);
  const neverRan = caller.records.filter(
    ({ told, key }) => told === "finished" && key !== undefined && !runs.some((r) => r.key === key),
  );
  const unreadableClaims = world.getClaimStreams().flatMap((stream) =>
    world
      .foldStream(stream)
      .getRegistersOfKind(RecordKind.Claim)
      .filter((register) => parseClaim(register) === undefined),
  );
  return [
    ...duplicates.map(({ key }) => `key ${String(key)} ran more than once`),
    ...neverRan.map(({ requestId }) => `${requestId} was reported as finished but never ran`),
    ...unreadableClaims.map(({ key }) => `claim ${key} is unreadable`),
  ];
};

const checkLeaving = ({ world }: CheckOptions): string[] =>
  world.engines.flatMap(({ name, runs }) => {
    const sinceMs = world.getLeavingSinceMs(name);
    const late = runs.filter(
      ({ atMs }) => sinceMs !== undefined && atMs > sinceMs + LEAVING_LIMIT_MS,
    );
    return late.map(
      ({ attemptId }) => `${name} received ${attemptId} after it was marked as leaving`,
    );
  });

const checkConfig = ({ world, stableSinceMs }: CheckOptions): string[] => {
  const committed = world.getCommittedRevision();
  const entries = world.log.getEntries(CONTROL_STREAM);
  const publishedMs = entries.findLast(({ records }) =>
    records.some(({ kind }) => kind === RecordKind.Config),
  )?.timeMs;
  const offsetMs = world.clock.wall() - world.clock.now();
  const limitMs = Math.max((publishedMs ?? 0) - offsetMs, stableSinceMs) + IN_FORCE_LIMIT_MS;
  return world.liveProcesses.flatMap(({ name, revisions }) => {
    const isRegressing = revisions.some(
      ({ revision }, i) => i > 0 && revision <= (revisions[i - 1]?.revision ?? 0),
    );
    const newest = revisions.at(-1);
    const isStale = newest?.revision !== committed || newest.atMs > limitMs;
    return [
      ...(isRegressing ? [`${name} went back to an older revision`] : []),
      ...(isStale
        ? [`${name} has revision ${String(newest?.revision)} instead of ${String(committed)}`]
        : []),
    ];
  });
};

/** Whether a later epoch of the pool's lease was on the log well before the order arrived. */
const isSuperseded = (world: World, fence: number, atMs: number): boolean => {
  const offsetMs = world.clock.wall() - world.clock.now();
  return world.log.getEntries(CONTROL_STREAM).some(
    ({ timeMs, records }) =>
      timeMs - offsetMs < atMs - ORDER_IN_FLIGHT_MS &&
      records.some(({ kind, key, body }) => {
        const lease = kind === RecordKind.Lease ? leaseBodySchema.safeParse(body).data : undefined;
        const isClaim = lease?.action === LeaseAction.Claim && key === POOL_LEASE;
        return isClaim && lease.epoch > fence;
      }),
  );
};

/**
 * Fencing engines never accept an older fencing token, and every engine ends in the configured
 * state.
 */
const checkOrders = ({ world }: CheckOptions): string[] =>
  world.engines.flatMap(({ name, orders, isFencing, state }) => {
    const fences = orders.filter(({ accepted }) => accepted).map(({ order }) => order.fence);
    const isRegressing = isFencing && fences.some((fence, i) => fence < (fences[i - 1] ?? 0));
    const supersededOrders = orders.filter(
      ({ accepted, order, atMs }) => accepted && isSuperseded(world, order.fence, atMs),
    );
    const expectedVersion = world.liveProcesses[0]?.node.cfg?.models["m"]?.version;
    const isWrongVersion = expectedVersion !== undefined && state.version !== expectedVersion;
    return [
      ...(isRegressing ? [`${name} accepted an order with an older fencing token`] : []),
      ...supersededOrders.map(
        ({ order }) => `${name} accepted order ${String(order.fence)} of a superseded holder`,
      ),
      ...(isWrongVersion ? [`${name} has version ${state.version}, not ${expectedVersion}`] : []),
    ];
  });

/** A poisonous prompt crashes a bounded number of engines, and no other prompt is blocked. */
const checkPoison = ({ world, caller, mayBlockMain }: CheckOptions): string[] => {
  const fold = world.foldStream(CONTROL_STREAM);
  const crashingBodies = world.engines.flatMap((engine) => engine.crashingBodies);
  const repeatedCrashes = [...new Set(crashingBodies)].filter(
    (body) => crashingBodies.filter((other) => other === body).length > MAX_STRIKES,
  );
  const harmless = caller.records
    .filter(({ kind, prompt }) => kind !== RequestKind.Save && !prompt.includes(POISON))
    .filter(({ prompt }) => !(mayBlockMain && prompt === MAIN_PROMPT));
  const blocked = harmless.filter(({ prompt }) => {
    const body = fold.getRegister(RecordKind.Poison, sha256(prompt))?.body;
    return (poisonStateSchema.safeParse(body).data?.strikes ?? 0) >= MAX_STRIKES;
  });
  return [
    ...repeatedCrashes.map((body) => `${body} crashed more than ${String(MAX_STRIKES)} engines`),
    ...blocked.map(({ requestId }) => `${requestId} is blocked but not poisonous`),
  ];
};

/** Returns the violations of every promise in a cell. */
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
