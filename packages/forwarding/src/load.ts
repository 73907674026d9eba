import { z } from "zod";

import type { Prospect } from "./lateness.js";
import {
  isOptionalPromise,
  listClaims,
  roomPromiseSchema,
  type RoomClaim,
} from "./room/promise.js";
import { customerKeySchema, isOptionalCustomerKey } from "./shares/customerKey.js";

/** What a request is doing at its upstreams. */
export const LoadPhase = {
  /** Its prompt is in prefill; nothing was decoded yet. */
  Reading: "reading",
  /** Its answer is being decoded. */
  Writing: "writing",
} as const;
export type LoadPhase = (typeof LoadPhase)[keyof typeof LoadPhase];

/** Time until the deadline of a request whose process, of an older build, doesn't report it. */
const UNKNOWN_DEADLINE_MS = 10_000;
const MAX_ID_LENGTH = 64;

/** One in-flight request, as the entry processes report it to each other. */
export const loadItemSchema = z.object({
  id: z.string().max(MAX_ID_LENGTH),
  pool: z.string(),
  phase: z.enum([LoadPhase.Reading, LoadPhase.Writing]),
  /** Upstream that decodes the answer. */
  upstream: z.string(),
  /** Upstreams that prefill parts of the prompt. */
  helpers: z.array(z.string()),
  /** Prefill time of each member's part of the prompt, milliseconds. */
  readMs: z.number().nonnegative(),
  /** Tokens that the prompt and its answer occupy in the KV memory of `upstream`. */
  kvTokens: z.number().nonnegative(),
  /** Tokens that are reserved at each helper, in the order of `helpers`. */
  heldTokens: z.array(z.number().nonnegative()),
  /** Objective for the longest gap between events, milliseconds. */
  maxGapMs: z.number().positive(),
  /** Time left until the objective for the first event when this phase began, milliseconds. */
  targetLeftMs: z.number(),
  /** Time left until the first event came too late for the whole answer when this phase began, milliseconds. */
  deadlineLeftMs: z.number().default(UNKNOWN_DEADLINE_MS),
  /** Estimated worth of the request to its caller. */
  value: z.number().nonnegative(),
  /** It was expected to miss its objective when it was sent, or an event has missed one. */
  isLate: z.boolean().default(false),
  /** It may crash its upstream, which others should avoid meanwhile. */
  isApart: z.boolean().optional(),
  /** Expected time of the whole answer after its first event, or of a call, milliseconds. */
  writeMs: z.number().nonnegative().optional(),
  /** Expected tokens of the answer, of long prompts. */
  outputTokens: z.number().nonnegative().optional(),
  /** The request isn't sent yet, and is promised room. */
  promise: roomPromiseSchema.optional(),
  customer: customerKeySchema,
});
export type LoadItem = z.infer<typeof loadItemSchema>;

const isString = (value: unknown): value is string => typeof value === "string";

const isAmount = (value: unknown): value is number =>
  Number.isFinite(value) && (value as number) >= 0;

const FINITE = ["targetLeftMs", "deadlineLeftMs"] as const;
const OPTIONAL_FLAGS: readonly unknown[] = [undefined, false, true];

const hasOptionalFields = (item: Partial<Record<keyof LoadItem, unknown>>): boolean =>
  OPTIONAL_FLAGS.includes(item.isApart) &&
  (item.outputTokens === undefined || isAmount(item.outputTokens)) &&
  (item.writeMs === undefined || isAmount(item.writeMs)) &&
  isOptionalPromise(item.promise) &&
  isOptionalCustomerKey(item.customer);

const AMOUNTS = ["readMs", "kvTokens", "value"] as const;

const isArrayOf = (value: unknown, isEntry: (entry: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(isEntry);

const isPhase = (value: unknown): boolean =>
  value === LoadPhase.Reading || value === LoadPhase.Writing;

/** True for what {@link loadItemSchema} accepts unchanged, at a fraction of its cost. */
export const isLoadItem = (value: unknown): value is LoadItem => {
  if (typeof value !== "object" || value === null) {
    return false;
  }
  const item = value as Partial<Record<keyof LoadItem, unknown>>;
  return (
    isString(item.id) &&
    item.id.length <= MAX_ID_LENGTH &&
    isString(item.pool) &&
    isPhase(item.phase) &&
    isString(item.upstream) &&
    isArrayOf(item.helpers, isString) &&
    isArrayOf(item.heldTokens, isAmount) &&
    AMOUNTS.every((field) => isAmount(item[field])) &&
    isAmount(item.maxGapMs) &&
    item.maxGapMs > 0 &&
    FINITE.every((field) => Number.isFinite(item[field])) &&
    typeof item.isLate === "boolean" &&
    hasOptionalFields(item)
  );
};

/** A request whose answer one upstream decodes, with its objectives met so far. */
export interface DecodeLoad {
  readonly maxGapMs: number;
  readonly value: number;
}

/** A request whose prompt one upstream prefills, in whole or in part. */
export interface PrefillLoad extends Prospect {
  /** This upstream also decodes the answer; parts that it prefills as a helper go before such a part. */
  readonly isDecoder: boolean;
}

/** In-flight requests at one upstream. */
export interface UpstreamLoad {
  /** Requests whose answer this upstream decodes or will decode. */
  inFlight: number;
  /** Requests among them that may crash the upstream. */
  apart: number;
  /** Requests among them that wait behind others, because they were late when they were sent. */
  deferred: number;
  /** Prompts that this upstream prefills only as a helper. */
  helping: number;
  /** Milliseconds until all queued prompt parts are prefilled. */
  pendingReadMs: number;
  /** The same for the parts that this upstream prefills as a helper, which go first. */
  pendingHelpMs: number;
  /** Number of answers in the decode phase. */
  decoding: number;
  /** The answers among them that still have an objective to meet. */
  decodes: DecodeLoad[];
  prefills: PrefillLoad[];
  /** Smallest gap objective that an answer decoded or to be decoded here can still meet. */
  minGapMs: number;
  kvTokens: number;
  contextTokens: number;
  /** Requests that peers are expected to have sent here since what this process knows of them. */
  unseen: number;
  /** Expected time until each request ends, milliseconds, in no order; those of unknown cost are missing. */
  endsMs: number[];
  /** Claims of prompts that are promised memory here; undefined for none. */
  claims?: readonly RoomClaim[];
}

/** A load item with the time at which its phase was recorded here. */
export interface TimedLoadItem extends LoadItem {
  readonly sinceMs: number;
  /** Time at which a peer's request was first recorded here; undefined for this process's own. */
  readonly reportedMs?: number | undefined;
}

/**
 * A load item with its times. All have their fields in one order: reading such items takes a fifth of the
 * time that it takes for copies of messages.
 */
export const newTimedItem = (
  item: LoadItem,
  { sinceMs, reportedMs }: Pick<TimedLoadItem, "sinceMs" | "reportedMs">,
): TimedLoadItem =>
  ({
    id: item.id,
    pool: item.pool,
    phase: item.phase,
    upstream: item.upstream,
    helpers: item.helpers,
    readMs: item.readMs,
    kvTokens: item.kvTokens,
    heldTokens: item.heldTokens,
    maxGapMs: item.maxGapMs,
    targetLeftMs: item.targetLeftMs,
    deadlineLeftMs: item.deadlineLeftMs,
    value: item.value,
    isLate: item.isLate,
    isApart: item.isApart,
    writeMs: item.writeMs,
    outputTokens: item.outputTokens,
    promise: item.promise,
    customer: item.customer,
    sinceMs,
    reportedMs,
  }) satisfies Record<keyof TimedLoadItem, unknown>;

/** Load of an upstream with nothing in flight. */
export const newUpstreamLoad = (): UpstreamLoad => ({
  inFlight: 0,
  apart: 0,
  deferred: 0,
  helping: 0,
  pendingReadMs: 0,
  pendingHelpMs: 0,
  decoding: 0,
  decodes: [],
  prefills: [],
  minGapMs: Infinity,
  kvTokens: 0,
  contextTokens: 0,
  unseen: 0,
  endsMs: [],
});

/** Time over which the rate of peers' requests at an upstream is measured. */
const RATE_WINDOW_MS = 500;

/** Prefill that should have ended already still counts this much. */
const OVERDUE_READ_MS = 10;
/** An answer or call that takes longer than expected goes on for this share of its time so far. */
const OVERDUE_WRITE_SHARE = 0.3;

/** Work that a request still has at its decoder. */
export interface RemainingWork {
  /** Prefill of its own part, without what waits before it, milliseconds. */
  readonly readMs: number;
  /** Answer after its first event, or call, milliseconds; undefined when unknown. */
  readonly writeMs: number | undefined;
  /** The expected time is over. */
  readonly isOverdue: boolean;
}

/** Work that a request is expected to have left at the monotonic time `nowMs`. */
export const estimateRemaining = (
  {
    phase,
    readMs,
    writeMs,
    sinceMs,
  }: Pick<TimedLoadItem, "phase" | "readMs" | "sinceMs"> & {
    readonly writeMs?: number | undefined;
  },
  nowMs: number,
): RemainingWork => {
  const spentMs = Math.max(0, nowMs - sinceMs);
  if (phase === LoadPhase.Reading) {
    const leftMs = Math.max(OVERDUE_READ_MS, readMs - spentMs);
    return { readMs: leftMs, writeMs, isOverdue: spentMs > readMs };
  }
  if (writeMs === undefined) {
    return { readMs: 0, writeMs, isOverdue: false };
  }
  const leftMs = Math.max(writeMs - spentMs, OVERDUE_WRITE_SHARE * Math.max(spentMs, writeMs));
  return { readMs: 0, writeMs: leftMs, isOverdue: spentMs > writeMs };
};

const getOrAdd = (loads: Map<string, UpstreamLoad>, id: string): UpstreamLoad => {
  let load = loads.get(id);
  if (!load) {
    load = newUpstreamLoad();
    loads.set(id, load);
  }
  return load;
};

/** Returns a function that appends prompt parts to the prefill queues of upstreams. */
const newPrefillQueue = (
  loads: Map<string, UpstreamLoad>,
  nowMs: number,
): ((id: string, item: TimedLoadItem, isDecoder: boolean) => void) => {
  const allEndMs = new Map<string, number>();
  const helpEndMs = new Map<string, number>();
  const queue = (endMsById: Map<string, number>, id: string, item: TimedLoadItem): number => {
    const end = Math.max(endMsById.get(id) ?? 0, item.sinceMs) + item.readMs;
    endMsById.set(id, end);
    return Math.max(OVERDUE_READ_MS, end - nowMs);
  };
  return (id, item, isDecoder) => {
    const load = getOrAdd(loads, id);
    load.pendingReadMs = queue(allEndMs, id, item);
    if (!isDecoder) {
      load.pendingHelpMs = queue(helpEndMs, id, item);
    }
    load.prefills.push({
      targetLeftMs: item.targetLeftMs - (nowMs - item.sinceMs),
      deadlineLeftMs: item.deadlineLeftMs - (nowMs - item.sinceMs),
      value: item.value,
      isDecoder,
    });
  };
};

/** True when no gap can make the answer late any more, because it is late already. */
export const isPastObjective = (item: TimedLoadItem, nowMs: number): boolean =>
  item.isLate || (item.phase === LoadPhase.Reading && nowMs - item.sinceMs > item.targetLeftMs);

/** Adds what a prompt that isn't sent yet is promised. */
const addClaims = (loads: Map<string, UpstreamLoad>, item: TimedLoadItem, nowMs: number): void => {
  for (const [id, claim] of listClaims(item, nowMs)) {
    const load = getOrAdd(loads, id);
    load.claims = [...(load.claims ?? []), claim];
  }
};

/** Sums in-flight requests by upstream, at the monotonic time `nowMs`; reports of peers are `lagMs` old. */
export const sumLoads = (
  items: Iterable<TimedLoadItem>,
  nowMs: number,
  lagMs = 0,
): Map<string, UpstreamLoad> => {
  const loads = new Map<string, UpstreamLoad>();
  const queuePrefill = newPrefillQueue(loads, nowMs);
  const sorted = [...items].sort((a, b) => a.sinceMs - b.sinceMs);
  for (const item of sorted) {
    if (item.promise) {
      addClaims(loads, item, nowMs);
      continue;
    }
    const load = getOrAdd(loads, item.upstream);
    load.inFlight += 1;
    load.apart += item.isApart ? 1 : 0;
    load.kvTokens += item.kvTokens;
    load.contextTokens += item.kvTokens;
    load.deferred += item.phase === LoadPhase.Reading && item.isLate ? 1 : 0;
    load.decoding += item.phase === LoadPhase.Writing ? 1 : 0;
    if (item.reportedMs !== undefined && nowMs - item.reportedMs < RATE_WINDOW_MS) {
      load.unseen += lagMs / RATE_WINDOW_MS;
    }
    if (!isPastObjective(item, nowMs)) {
      load.minGapMs = Math.min(load.minGapMs, item.maxGapMs);
      if (item.phase === LoadPhase.Writing) {
        load.decodes.push({ maxGapMs: item.maxGapMs, value: item.value });
      }
    }
    item.helpers.forEach((helper, index) => {
      const helperLoad = getOrAdd(loads, helper);
      helperLoad.helping += 1;
      helperLoad.kvTokens += item.heldTokens[index] ?? 0;
    });
    if (item.phase === LoadPhase.Reading) {
      queuePrefill(item.upstream, item, true);
      item.helpers.forEach((id) => {
        queuePrefill(id, item, false);
      });
    }
    const { writeMs } = estimateRemaining(item, nowMs);
    if (writeMs !== undefined) {
      load.endsMs.push((item.phase === LoadPhase.Reading ? load.pendingReadMs : 0) + writeMs);
    }
  }
  return loads;
};

/** Expected time until the `count`th request at an upstream ends, milliseconds; undefined when unknown. */
export const getEndMs = ({ endsMs, inFlight }: UpstreamLoad, count: number): number | undefined =>
  inFlight === 0 || endsMs.length < inFlight
    ? undefined
    : [...endsMs].sort((a, b) => a - b)[Math.min(count, endsMs.length) - 1];
