import { z } from "zod";

/** What a request is doing at its upstreams. */
export const LoadPhase = {
  /** Its prompt is being read; nothing was written yet. */
  Reading: "reading",
  Writing: "writing",
} as const;
export type LoadPhase = (typeof LoadPhase)[keyof typeof LoadPhase];

/** One request in flight, as the entry processes tell each other. */
export const loadItemSchema = z.object({
  id: z.string().max(64),
  pool: z.string(),
  phase: z.enum([LoadPhase.Reading, LoadPhase.Writing]),
  /** Upstream that writes the answer. */
  upstream: z.string(),
  /** Upstreams that read parts of the prompt. */
  helpers: z.array(z.string()),
  /** Time that each member needs for its part of the prompt, milliseconds. */
  readMs: z.number().nonnegative(),
  /** Tokens that the prompt and its answer occupy at the writing upstream. */
  kvTokens: z.number().nonnegative(),
  /** Tokens that tickets hold at each helper, in the helpers' order. */
  heldTokens: z.array(z.number().nonnegative()),
  /** Longest pause between events within the objective. */
  maxGapMs: z.number().positive(),
  /** Time left to the objective for the first event when this phase began. */
  targetLeftMs: z.number(),
  /** Estimate of what the request is worth to its caller. */
  value: z.number().nonnegative(),
});
export type LoadItem = z.infer<typeof loadItemSchema>;

/** A writer or coming writer at one upstream. */
export interface WriterLoad {
  readonly maxGapMs: number;
  readonly value: number;
}

/** A request whose prompt is being read, in whole or in part, at one upstream. */
export interface ReaderLoad {
  /** Time left to its objective for the first event. */
  readonly targetLeftMs: number;
  readonly value: number;
  /** This upstream also writes the answer; its own part waits for those of helpers. */
  readonly isWriter: boolean;
}

/** What is in flight at one upstream. */
export interface UpstreamLoad {
  /** Requests whose answer this upstream writes or will write. */
  inFlight: number;
  /** Prompts that this upstream only helps to read. */
  helping: number;
  /** Milliseconds until the prompts queued for reading are read. */
  pendingReadMs: number;
  /** The same for the parts that this upstream reads as a helper, which go first. */
  pendingHelpMs: number;
  writers: WriterLoad[];
  readers: ReaderLoad[];
  /** Shortest pause objective among the answers written or to be written here. */
  minGapMs: number;
  kvTokens: number;
  contextTokens: number;
}

/** A load item with the time at which this process learned of its phase. */
export interface TimedLoadItem extends LoadItem {
  readonly sinceMs: number;
}

/** Load of an upstream with nothing in flight. */
export const newUpstreamLoad = (): UpstreamLoad => ({
  inFlight: 0,
  helping: 0,
  pendingReadMs: 0,
  pendingHelpMs: 0,
  writers: [],
  readers: [],
  minGapMs: Infinity,
  kvTokens: 0,
  contextTokens: 0,
});

/** Reading that is overdue still counts this much. */
const OVERDUE_READ_MS = 10;

const getOrAdd = (loads: Map<string, UpstreamLoad>, id: string): UpstreamLoad => {
  let load = loads.get(id);
  if (!load) {
    load = newUpstreamLoad();
    loads.set(id, load);
  }
  return load;
};

/** Queues reading at upstreams, one prompt behind the other. */
const newReadQueue = (
  loads: Map<string, UpstreamLoad>,
  nowMs: number,
): ((id: string, item: TimedLoadItem, isWriter: boolean) => void) => {
  const allEnds = new Map<string, number>();
  const helpEnds = new Map<string, number>();
  const queue = (ends: Map<string, number>, id: string, item: TimedLoadItem): number => {
    const end = Math.max(ends.get(id) ?? 0, item.sinceMs) + item.readMs;
    ends.set(id, end);
    return Math.max(OVERDUE_READ_MS, end - nowMs);
  };
  return (id, item, isWriter) => {
    const load = getOrAdd(loads, id);
    load.pendingReadMs = queue(allEnds, id, item);
    if (!isWriter) {
      load.pendingHelpMs = queue(helpEnds, id, item);
    }
    load.readers.push({
      targetLeftMs: item.targetLeftMs - (nowMs - item.sinceMs),
      value: item.value,
      isWriter,
    });
  };
};

/** Sums requests in flight by upstream, at time `nowMs`. */
export const sumLoads = (
  items: Iterable<TimedLoadItem>,
  nowMs: number,
): Map<string, UpstreamLoad> => {
  const loads = new Map<string, UpstreamLoad>();
  const queueRead = newReadQueue(loads, nowMs);
  const placed = [...items].sort((a, b) => a.sinceMs - b.sinceMs);
  for (const item of placed) {
    const load = getOrAdd(loads, item.upstream);
    load.inFlight += 1;
    load.kvTokens += item.kvTokens;
    load.contextTokens += item.kvTokens;
    load.minGapMs = Math.min(load.minGapMs, item.maxGapMs);
    if (item.phase === LoadPhase.Writing) {
      load.writers.push({ maxGapMs: item.maxGapMs, value: item.value });
    }
    item.helpers.forEach((helper, index) => {
      const helperLoad = getOrAdd(loads, helper);
      helperLoad.helping += 1;
      helperLoad.kvTokens += item.heldTokens[index] ?? 0;
    });
    if (item.phase === LoadPhase.Reading) {
      queueRead(item.upstream, item, true);
      item.helpers.forEach((id) => {
        queueRead(id, item, false);
      });
    }
  }
  return loads;
};
