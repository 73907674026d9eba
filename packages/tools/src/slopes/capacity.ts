import type { SlopeReading } from "./slopes.js";

/** Fleet size and load to compute the capacity for. */
const TARGET = {
  nodes: 420,
  workers: 7_500,
  requestsPerS: 4_000,
  nonIdempotentShare: 0.1,
  failureDomains: 16,
  changesPerDay: 5_900,
  claimWindowS: 3_600,
} as const;

/** Limits on the control cost of one node, and on the append rate of the log. */
export const BOUNDS = {
  cpuPercent: 3.8,
  memoryMb: 256,
  bytesPerS: 5_000,
  appendsPerS: 300,
} as const;

const SECONDS_PER_DAY = 86_400;
const BYTES_PER_CLAIM_ENTRY = 900;
const FATE_FLUSH_INTERVAL_S = 1;

/** One line of the capacity page. */
export interface CapacityLine {
  readonly role: string;
  readonly quantity: string;
  readonly formula: string;
  readonly value: number;
  readonly bound: number | undefined;
}

type Measure = "cpuPercent" | "bytesPerS" | "totalAppendsPerS" | "rssMb";

/** Straight line y = base + slope * x. */
interface Line {
  readonly base: number;
  readonly slope: number;
}

/** Returns the line through the first and the last reading of a series. */
const getLine = (
  series: readonly SlopeReading[],
  getX: (reading: SlopeReading) => number,
  measure: Measure,
): Line => {
  const [first, last] = [series[0], series.at(-1)];
  if (!first || !last || getX(first) === getX(last)) {
    return { base: first?.[measure] ?? 0, slope: 0 };
  }
  const slope = (last[measure] - first[measure]) / (getX(last) - getX(first));
  return { base: first[measure] - slope * getX(first), slope };
};

const evaluate = ({ base, slope }: Line, x: number): number => base + slope * x;

const formatLine = (name: string, { base, slope }: Line, x: string): string =>
  `${name} = ${base.toPrecision(3)} + ${slope.toPrecision(3)} x ${x}`;

/** Extrapolates measured readings to the target. */
export const computeCapacity = (readings: readonly SlopeReading[]): CapacityLine[] => {
  const isIdle = ({ requestsPerS, changesPerS }: SlopeReading): boolean =>
    requestsPerS === 0 && changesPerS === 0;
  const processSeries = readings.filter((r) => isIdle(r) && r.engines === 4);
  const engineSeries = readings.filter((r) => isIdle(r) && r.entryProcesses === 6);
  const requestSeries = readings.filter(
    (r) => r.engines === 16 && r.changesPerS === 0 && r.onceShare === 0,
  );
  const onceSeries = readings.filter((r) => r.onceShare === 1);
  const changeSeries = readings.filter((r) => r.changesPerS > 0);
  const nodesPerDomain = Math.ceil(TARGET.nodes / TARGET.failureDomains);
  const enginesPerNode = TARGET.workers / TARGET.nodes;
  const requestsPerSPerNode = TARGET.requestsPerS / TARGET.nodes;
  const getRequestsPerProcess = (r: SlopeReading): number => r.requestsPerS / r.entryProcesses;
  // The example deployments have three failure domains, so each has a third of the processes.
  const getProcessesPerDomain = (r: SlopeReading): number => r.entryProcesses / 3;
  // One process owns the pool: the mean over six processes shows a sixth of its cost.
  const getEnginesPerProcess = (r: SlopeReading): number => r.engines / r.entryProcesses;
  const lines: CapacityLine[] = [];
  const addLine = (
    role: string,
    quantity: string,
    options: { formula: string; value: number; bound?: number },
  ): void => {
    lines.push({ role, quantity, bound: options.bound, ...options } as CapacityLine);
  };
  const estimateControlCost = (
    measure: "cpuPercent" | "bytesPerS",
  ): { value: number; formula: string } => {
    const members = getLine(processSeries, getProcessesPerDomain, measure);
    const engines = getLine(engineSeries, getEnginesPerProcess, measure);
    const requests = getLine(requestSeries, getRequestsPerProcess, measure);
    const value =
      evaluate(members, nodesPerDomain) +
      engines.slope * enginesPerNode +
      (measure === "bytesPerS" ? requests.slope * requestsPerSPerNode : 0);
    const formula = [
      formatLine("members", members, String(nodesPerDomain)),
      `engines ${engines.slope.toPrecision(3)} x ${enginesPerNode.toFixed(1)}`,
      ...(measure === "bytesPerS"
        ? [`requests ${requests.slope.toPrecision(3)} x ${requestsPerSPerNode.toFixed(2)}`]
        : []),
    ].join("; ");
    return { value, formula };
  };
  addLine("entry process", "control CPU, % of a core", {
    ...estimateControlCost("cpuPercent"),
    bound: BOUNDS.cpuPercent,
  });
  addLine("entry process", "control bytes/s", {
    ...estimateControlCost("bytesPerS"),
    bound: BOUNDS.bytesPerS,
  });
  const memory = getLine(processSeries, getProcessesPerDomain, "rssMb");
  addLine("entry process", "memory, MB", {
    formula: formatLine("resident", memory, String(nodesPerDomain)),
    value: evaluate(memory, nodesPerDomain),
    bound: BOUNDS.memoryMb,
  });
  const claimsPerS = TARGET.requestsPerS * TARGET.nonIdempotentShare;
  addLine("claim shard owner", "keys in memory", {
    formula: `${String(claimsPerS)} x ${String(TARGET.claimWindowS)} / ${String(TARGET.nodes)}`,
    value: (claimsPerS * TARGET.claimWindowS) / TARGET.nodes,
  });
  addLine("claim shard owner", "claim bytes/s", {
    formula: `2 x ${String(BYTES_PER_CLAIM_ENTRY)} x ${String(claimsPerS)} / ${String(TARGET.nodes)}`,
    value: (2 * BYTES_PER_CLAIM_ENTRY * claimsPerS) / TARGET.nodes,
  });
  const [onceReading] = onceSeries;
  const appendsPerClaim = (onceReading?.totalAppendsPerS ?? 0) / (onceReading?.requestsPerS ?? 1);
  addLine("log", "appends/s for claims, unbatched", {
    formula: `${appendsPerClaim.toPrecision(3)} x ${String(claimsPerS)}`,
    value: appendsPerClaim * claimsPerS,
    bound: BOUNDS.appendsPerS,
  });
  addLine("log", "appends/s for fates", {
    formula: `${String(TARGET.nodes)} / ${String(FATE_FLUSH_INTERVAL_S)} s`,
    value: TARGET.nodes / FATE_FLUSH_INTERVAL_S,
    bound: BOUNDS.appendsPerS,
  });
  const idleAppends = getLine(processSeries, (r) => r.entryProcesses, "totalAppendsPerS");
  addLine("log", "appends/s for duties", {
    formula: formatLine("appends", idleAppends, "0"),
    value: processSeries[0]?.totalAppendsPerS ?? 0,
    bound: BOUNDS.appendsPerS,
  });
  const [changing] = changeSeries;
  const [idle] = processSeries;
  const bytesPerChange =
    ((changing?.bytesPerS ?? 0) - (idle?.bytesPerS ?? 0)) / (changing?.changesPerS ?? 1);
  addLine("configuration", "bytes/s a process", {
    formula: `${bytesPerChange.toFixed(0)} a change x ${String(TARGET.changesPerDay)} / ${String(SECONDS_PER_DAY)}`,
    value: (bytesPerChange * TARGET.changesPerDay) / SECONDS_PER_DAY,
  });
  return lines;
};
