import type { SlopeReading } from "./slopes.js";

/** Size to design for. */
const TARGET = {
  nodes: 420,
  workers: 7_500,
  requestsPerS: 4_000,
  nonIdempotentShare: 0.1,
  failureDomains: 16,
  changesPerDay: 5_900,
  claimWindowS: 3_600,
} as const;

/** What a node's control may cost, and the log's rate. */
export const BOUNDS = {
  cpuPercent: 3.8,
  memoryMb: 256,
  bytesPerS: 5_000,
  appendsPerS: 300,
} as const;

const SECONDS_PER_DAY = 86_400;
const CLAIM_ENTRY_BYTES = 900;
const FATES_FLUSH_S = 1;

/** One line of the capacity page. */
export interface CapacityLine {
  readonly role: string;
  readonly quantity: string;
  readonly formula: string;
  readonly value: number;
  readonly bound: number | undefined;
}

type Measure = "cpuPercent" | "bytesPerS" | "totalAppendsPerS" | "rssMb";

interface Slope {
  readonly base: number;
  readonly slope: number;
}

/** Straight line through the first and the last reading of a series. */
const getSlope = (
  series: readonly SlopeReading[],
  getX: (reading: SlopeReading) => number,
  measure: Measure,
): Slope => {
  const [first, last] = [series[0], series.at(-1)];
  if (!first || !last || getX(first) === getX(last)) {
    return { base: first?.[measure] ?? 0, slope: 0 };
  }
  const slope = (last[measure] - first[measure]) / (getX(last) - getX(first));
  return { base: first[measure] - slope * getX(first), slope };
};

const at = ({ base, slope }: Slope, x: number): number => base + slope * x;

const describe = (name: string, { base, slope }: Slope, x: string): string =>
  `${name} = ${base.toPrecision(3)} + ${slope.toPrecision(3)} x ${x}`;

/** Works the target out from measured readings. */
export const computeCapacity = (readings: readonly SlopeReading[]): CapacityLine[] => {
  const isIdle = ({ requestsPerS, changesPerS }: SlopeReading): boolean =>
    requestsPerS === 0 && changesPerS === 0;
  const byProcesses = readings.filter((r) => isIdle(r) && r.engines === 4);
  const byEngines = readings.filter((r) => isIdle(r) && r.entryProcesses === 6);
  const loaded = readings.filter(
    (r) => r.engines === 16 && r.changesPerS === 0 && r.onceShare === 0,
  );
  const once = readings.filter((r) => r.onceShare === 1);
  const changes = readings.filter((r) => r.changesPerS > 0);
  const domainSize = Math.ceil(TARGET.nodes / TARGET.failureDomains);
  const enginesPerNode = TARGET.workers / TARGET.nodes;
  const perNode = TARGET.requestsPerS / TARGET.nodes;
  const onLoad = (r: SlopeReading): number => r.requestsPerS / r.entryProcesses;
  // The examples have three failure domains, so a domain holds a third of the processes.
  const inDomain = (r: SlopeReading): number => r.entryProcesses / 3;
  // One process owns the pool, so the mean over six hides five sixths of its cost.
  const onEngines = (r: SlopeReading): number => r.engines / r.entryProcesses;
  const lines: CapacityLine[] = [];
  const add = (
    role: string,
    quantity: string,
    options: { formula: string; value: number; bound?: number },
  ): void => {
    lines.push({ role, quantity, bound: options.bound, ...options } as CapacityLine);
  };
  const sumOf = (measure: "cpuPercent" | "bytesPerS"): { value: number; formula: string } => {
    const members = getSlope(byProcesses, inDomain, measure);
    const engines = getSlope(byEngines, onEngines, measure);
    const requests = getSlope(loaded, onLoad, measure);
    const value =
      at(members, domainSize) +
      engines.slope * enginesPerNode +
      (measure === "bytesPerS" ? requests.slope * perNode : 0);
    const formula = [
      describe("members", members, String(domainSize)),
      `engines ${engines.slope.toPrecision(3)} x ${enginesPerNode.toFixed(1)}`,
      ...(measure === "bytesPerS"
        ? [`requests ${requests.slope.toPrecision(3)} x ${perNode.toFixed(2)}`]
        : []),
    ].join("; ");
    return { value, formula };
  };
  add("entry process", "control CPU, % of a core", {
    ...sumOf("cpuPercent"),
    bound: BOUNDS.cpuPercent,
  });
  add("entry process", "control bytes/s", { ...sumOf("bytesPerS"), bound: BOUNDS.bytesPerS });
  const memory = getSlope(byProcesses, inDomain, "rssMb");
  add("entry process", "memory, MB", {
    formula: describe("resident", memory, String(domainSize)),
    value: at(memory, domainSize),
    bound: BOUNDS.memoryMb,
  });
  const claimsPerS = TARGET.requestsPerS * TARGET.nonIdempotentShare;
  add("claim shard owner", "keys in memory", {
    formula: `${String(claimsPerS)} x ${String(TARGET.claimWindowS)} / ${String(TARGET.nodes)}`,
    value: (claimsPerS * TARGET.claimWindowS) / TARGET.nodes,
  });
  add("claim shard owner", "claim bytes/s", {
    formula: `2 x ${String(CLAIM_ENTRY_BYTES)} x ${String(claimsPerS)} / ${String(TARGET.nodes)}`,
    value: (2 * CLAIM_ENTRY_BYTES * claimsPerS) / TARGET.nodes,
  });
  const [onceReading] = once;
  const appendsPerClaim = (onceReading?.totalAppendsPerS ?? 0) / (onceReading?.requestsPerS ?? 1);
  add("log", "appends/s for claims, unbatched", {
    formula: `${appendsPerClaim.toPrecision(3)} x ${String(claimsPerS)}`,
    value: appendsPerClaim * claimsPerS,
    bound: BOUNDS.appendsPerS,
  });
  add("log", "appends/s for fates", {
    formula: `${String(TARGET.nodes)} / ${String(FATES_FLUSH_S)} s`,
    value: TARGET.nodes / FATES_FLUSH_S,
    bound: BOUNDS.appendsPerS,
  });
  const idle = getSlope(byProcesses, (r) => r.entryProcesses, "totalAppendsPerS");
  add("log", "appends/s for duties", {
    formula: describe("appends", idle, "0"),
    value: byProcesses[0]?.totalAppendsPerS ?? 0,
    bound: BOUNDS.appendsPerS,
  });
  const [changing] = changes;
  const [quiet] = byProcesses;
  const bytesPerChange =
    ((changing?.bytesPerS ?? 0) - (quiet?.bytesPerS ?? 0)) / (changing?.changesPerS ?? 1);
  add("configuration", "bytes/s a process", {
    formula: `${bytesPerChange.toFixed(0)} a change x ${String(TARGET.changesPerDay)} / ${String(SECONDS_PER_DAY)}`,
    value: (bytesPerChange * TARGET.changesPerDay) / SECONDS_PER_DAY,
  });
  return lines;
};
