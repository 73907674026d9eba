import { getHeapStatistics } from "node:v8";

import type { Cancel, Clock } from "@lycheepulley/core";

import type { AnswerCosts, CostliestUpstream } from "./AnswerCosts.js";
import type { Logger } from "./Logger.js";

/** Time between two ticks, by whose lateness stalls of the event loop are measured. */
const TICK_MS = 100;
/** Time between two looks at the memory. */
const LOOK_MS = 200;
/** Time between two lines, and time for which costs are summed up. */
const LINE_MS = 1_000;
/** The same while nothing but a full memory is wrong, which hasn't changed by more than this since the last line. */
const QUIET_LINE_MS = 30_000;
const MOVED_BYTES = 5_242_880;
/** Time without strain after which it has ended. */
const CALM_MS = 3_000;
/** Time for which a stall is told as the longest one, at least. */
const WINDOW_MS = 15_000;
/** Stalls from this length on are told; shorter ones are usual on a share of a processor. */
const STALL_MS = 250;
/** Share of the time for which the event loop waits for events, below which it is busy. */
const IDLE_SHARE = 0.05;
/** Shares of the limits from which memory is short. */
const HEAP_SHARE = 0.7;
const RSS_SHARE = 0.85;
const BYTES_PER_MB = 1_048_576;
const US_PER_MS = 1_000;

/** Memory of the process, bytes. */
export interface MemoryReadings {
  readonly rss: number;
  readonly heapUsed: number;
  readonly heapLimit: number;
  /** Outside the heap, but held by its objects: buffers. */
  readonly external: number;
}

/** What the runtime tells of the process, replaceable in tests. */
export interface ProcessReadings {
  getMemory(): MemoryReadings;
  /** Processor time since the start, milliseconds. */
  getCpuMs(): number;
  /** Time for which the event loop has waited for events, milliseconds. */
  getIdleMs(): number;
}

/** Readings of the running process. */
export class SystemReadings implements ProcessReadings {
  // The limit is that of the old generation, in which what stays is kept, and of room for new objects.
  readonly #heapLimit = getHeapStatistics().heap_size_limit;

  getMemory(): MemoryReadings {
    // Array buffers are a part of the external memory.
    const { rss, heapUsed, external } = process.memoryUsage();
    return { rss, heapUsed, heapLimit: this.#heapLimit, external };
  }

  getCpuMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_MS;
  }

  getIdleMs(): number {
    return performance.eventLoopUtilization().idle;
  }
}

/** What a process is short of. */
export const StrainCause = {
  /** The heap nears its limit, at which the runtime ends the process. */
  Heap: "heap",
  /** The process nears the memory of its VM, at which the system ends it. */
  Rss: "rss",
  /** The event loop stood still. */
  Stall: "stall",
  /** The event loop had next to no pause for a second: it turns, in many short turns, but everything waits. */
  Busy: "busy",
} as const;
export type StrainCause = (typeof StrainCause)[keyof typeof StrainCause];

/** Figures of a process, for metrics. */
export interface StrainFigures extends MemoryReadings {
  /** Longest stall of the event loop in the last 15 to 30 seconds, milliseconds. */
  readonly stallMs: number;
  /** Time of all stalls since the start, milliseconds. */
  readonly stalledMs: number;
}

/** One strain from its begin on. */
interface Strain {
  readonly beganMs: number;
  seenMs: number;
  loggedMs: number;
  heapUsed: number;
  rss: number;
  stallMs: number;
  /** Memory as the last line told it, and what memory was ever told to be short. */
  line: { heapUsed: number; rss: number };
  readonly told: Set<StrainCause>;
}

const MEMORY_CAUSES: ReadonlySet<StrainCause> = new Set([StrainCause.Heap, StrainCause.Rss]);

/** What the time between two lines was spent on. */
interface Interval {
  readonly overMs: number;
  readonly cpuMs: number;
  readonly idleMs: number;
  readonly costliest: CostliestUpstream | undefined;
}

const toMb = (bytes: number): number => Math.round(bytes / BYTES_PER_MB);

/**
 * Tells when a process nears the end of its memory or its event loop stands still, and whose answers it
 * spent most on, so that the last lines of a process that is gone tell why.
 */
export class ProcessStrain {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #costs: AnswerCosts;
  readonly #memoryLimit: number;
  readonly #readings: ProcessReadings;
  readonly #getHeldBytes: () => number;
  #cancel: Cancel = () => undefined;
  #tickMs = 0;
  #lookMs = 0;
  #interval = { startMs: 0, cpuMs: 0, idleMs: 0 };
  /** Longest stall that no line has told in full. */
  #untoldStallMs = 0;
  #stalledMs = 0;
  #window = { startMs: 0, maxMs: 0, previousMs: 0 };
  #strain: Strain | undefined;

  constructor(options: {
    clock: Clock;
    logger: Logger;
    costs: AnswerCosts;
    /** Memory of the VM, megabytes; undefined when it isn't known. */
    memoryMb?: number | undefined;
    readings?: ProcessReadings;
    /** Bytes that the process believes to hold for callers and upstreams. */
    getHeldBytes?: () => number;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#costs = options.costs;
    this.#memoryLimit = (options.memoryMb ?? Infinity) * BYTES_PER_MB;
    this.#readings = options.readings ?? new SystemReadings();
    this.#getHeldBytes = options.getHeldBytes ?? (() => 0);
  }

  get figures(): StrainFigures {
    return {
      ...this.#readings.getMemory(),
      stallMs: Math.max(this.#window.maxMs, this.#window.previousMs),
      stalledMs: this.#stalledMs,
    };
  }

  start(): void {
    const now = this.#clock.now();
    this.#tickMs = this.#lookMs = this.#window.startMs = now;
    this.#startInterval(now);
    // No timer runs while the loop stands still on the pieces of answers.
    this.#costs.onPieces = () => {
      this.#check(this.#clock.now());
    };
    this.#scheduleTick();
  }

  stop(): void {
    this.#cancel();
    this.#costs.onPieces = () => undefined;
  }

  #scheduleTick(): void {
    this.#cancel = this.#clock.setTimer(() => {
      const now = this.#clock.now();
      this.#endTick(now);
      this.#check(now);
      this.#scheduleTick();
    }, TICK_MS);
  }

  #endTick(now: number): void {
    const stallMs = this.#getStallMs(now);
    this.#tickMs = now;
    if (now - this.#window.startMs >= WINDOW_MS) {
      this.#window = { startMs: now, maxMs: 0, previousMs: this.#window.maxMs };
    }
    this.#window.maxMs = Math.max(this.#window.maxMs, stallMs);
    this.#untoldStallMs = Math.max(this.#untoldStallMs, stallMs);
    this.#stalledMs += stallMs >= STALL_MS ? stallMs : 0;
  }

  /** Time for which the loop has stood still by now. */
  #getStallMs(now: number): number {
    return Math.max(0, now - this.#tickMs - TICK_MS);
  }

  #check(now: number): void {
    if (now - this.#lookMs < LOOK_MS) {
      return;
    }
    this.#lookMs = now;
    const memory = this.#readings.getMemory();
    const stallMs = Math.max(this.#untoldStallMs, this.#getStallMs(now));
    const overMs = now - this.#interval.startMs;
    const causes = this.#findCauses(memory, { stallMs, overMs });
    if (causes.length === 0) {
      this.#endCalm(now);
      if (overMs >= LINE_MS) {
        this.#takeInterval(now);
        this.#untoldStallMs = 0;
      }
      return;
    }
    const strain = this.#noteStrain(now, memory, stallMs);
    if (this.#isDue(strain, { now, causes, memory })) {
      strain.loggedMs = now;
      strain.line = memory;
      causes.forEach((cause) => strain.told.add(cause));
      this.#log(causes, { ...memory, stallMs }, this.#takeInterval(now));
      this.#untoldStallMs = 0;
    } else if (overMs >= LINE_MS) {
      this.#takeInterval(now);
      this.#untoldStallMs = 0;
    }
  }

  #isDue(
    { loggedMs, line, told }: Strain,
    { now, causes, memory }: { now: number; causes: StrainCause[]; memory: MemoryReadings },
  ): boolean {
    const isSlow = causes.some((cause) => !MEMORY_CAUSES.has(cause));
    const movedBytes = Math.max(
      Math.abs(memory.heapUsed - line.heapUsed),
      Math.abs(memory.rss - line.rss),
    );
    const isNew = causes.some((cause) => MEMORY_CAUSES.has(cause) && !told.has(cause));
    const lineMs = isSlow || movedBytes >= MOVED_BYTES ? LINE_MS : QUIET_LINE_MS;
    return isNew || now - loggedMs >= lineMs;
  }

  #findCauses(
    { heapUsed, heapLimit, rss }: MemoryReadings,
    { stallMs, overMs }: { stallMs: number; overMs: number },
  ): StrainCause[] {
    const idleMs = this.#readings.getIdleMs() - this.#interval.idleMs;
    const isBusy = overMs >= LINE_MS && idleMs < IDLE_SHARE * overMs;
    const slow = isBusy ? [StrainCause.Busy] : [];
    return [
      ...(heapUsed >= HEAP_SHARE * heapLimit ? [StrainCause.Heap] : []),
      ...(rss >= RSS_SHARE * this.#memoryLimit ? [StrainCause.Rss] : []),
      ...(stallMs >= STALL_MS ? [StrainCause.Stall] : slow),
    ];
  }

  #noteStrain(now: number, { heapUsed, rss }: MemoryReadings, stallMs: number): Strain {
    const strain = (this.#strain ??= {
      ...{ beganMs: now - stallMs, seenMs: now, loggedMs: -Infinity },
      ...{ heapUsed, rss, stallMs, line: { heapUsed, rss }, told: new Set<StrainCause>() },
    });
    strain.seenMs = now;
    strain.heapUsed = Math.max(strain.heapUsed, heapUsed);
    strain.rss = Math.max(strain.rss, rss);
    strain.stallMs = Math.max(strain.stallMs, stallMs);
    return strain;
  }

  /** Ends an interval; returns what its answers and the process itself cost. */
  #takeInterval(now: number): Interval {
    const { startMs, cpuMs, idleMs } = this.#interval;
    this.#startInterval(now);
    return {
      ...{ costliest: this.#costs.take(), overMs: now - startMs },
      ...{ cpuMs: this.#interval.cpuMs - cpuMs, idleMs: this.#interval.idleMs - idleMs },
    };
  }

  #startInterval(startMs: number): void {
    const [cpuMs, idleMs] = [this.#readings.getCpuMs(), this.#readings.getIdleMs()];
    this.#interval = { startMs, cpuMs, idleMs };
  }

  #log(
    causes: readonly StrainCause[],
    { heapUsed, heapLimit, rss, external, stallMs }: MemoryReadings & { stallMs: number },
    { costliest, cpuMs, idleMs, overMs }: Interval,
  ): void {
    this.#logger.error("process under strain", {
      ...{ step: "process", causes },
      ...{ heapUsedMb: toMb(heapUsed), heapLimitMb: toMb(heapLimit), rssMb: toMb(rss) },
      ...(Number.isFinite(this.#memoryLimit) && { memoryMb: toMb(this.#memoryLimit) }),
      ...{ externalMb: toMb(external), heldMb: toMb(this.#getHeldBytes()) },
      ...{ stallMs: Math.round(stallMs), cpuMs: Math.round(cpuMs), idleMs: Math.round(idleMs) },
      overMs: Math.round(overMs),
      ...costliest,
    });
  }

  #endCalm(now: number): void {
    const strain = this.#strain;
    if (!strain || now - strain.seenMs < CALM_MS) {
      return;
    }
    this.#strain = undefined;
    this.#logger.info("strain ended", {
      ...{ step: "process", ms: Math.round(strain.seenMs - strain.beganMs) },
      ...{ maxHeapUsedMb: toMb(strain.heapUsed), maxRssMb: toMb(strain.rss) },
      longestStallMs: Math.round(strain.stallMs),
    });
  }
}
