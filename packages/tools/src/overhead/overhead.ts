import { SeededRandom, nextExponential } from "@lycheepulley/core";
import { build, type Histogram } from "hdr-histogram-js";

import { getExampleKey, readDeployment } from "../fleet/deployment.js";
import { getOrigin, LocalFleet } from "../fleet/LocalFleet.js";
import { LoadClient } from "../load/httpLoad.js";

const ARRIVAL_SEED = 7;
const WARM_UP_MS = 3_000;
const US_PER_MS = 1_000;
const PROMPT_BYTES = 4_000;
const OUTPUT_TOKENS = 2;
const MILLION_TOKEN_PROMPT_BYTES = 4_000_000;
const STALL_PROMPT_COUNT = 3;

/** Time to first token of one path to the engines, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly failed: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface OverheadReport {
  readonly requestsPerS: number;
  readonly seconds: number;
  readonly direct: LatencySummary;
  readonly throughEntry: LatencySummary;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly entryRssBytes: number;
  readonly entryCpuShare: number;
  /**
   * Longest delay of the entry process's event loop while it received prompts of a million tokens.
   */
  readonly millionTokensStallMs: number;
  /** Longest delay of the event loop in the same time without requests. */
  readonly idleStallMs: number;
}

/** Records the time to first token of one path to the engines. */
class LatencyRecorder {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  #failed = 0;

  record(firstTokenMs: number | undefined, isWhole: boolean): void {
    if (firstTokenMs === undefined || !isWhole) {
      this.#failed += 1;
      return;
    }
    this.#histogram.recordValue(Math.round(firstTokenMs * US_PER_MS));
  }

  getSummary(): LatencySummary {
    const at = (percentile: number): number =>
      this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
    const count = this.#histogram.totalCount;
    return { count, failed: this.#failed, p50: at(50), p95: at(95), p99: at(99) };
  }
}

/** Sends the same prompts directly to the engines and through one entry process, and compares. */
export const measureOverhead = async (options: {
  examples: string;
  entryPoint: string;
  folder: string;
  requestsPerS: number;
  seconds: number;
  onProgress: (line: string) => void;
}): Promise<OverheadReport> => {
  const { requestsPerS, seconds, onProgress } = options;
  const loaded = await readDeployment(options.examples, "medellin");
  const fleet = new LocalFleet({
    ...{ loaded, entryPoint: options.entryPoint, folder: options.folder },
    entryProcesses: 1,
    // Fast engines make the entry process the larger part of the latency.
    timeScale: 20,
    logLevel: "error",
  });
  await fleet.start();
  try {
    const entry = fleet.entries[0];
    const engines = fleet.engineVms.map((vm) => new LoadClient(getOrigin(vm), 64));
    const entryClient = new LoadClient(entry ? getOrigin(entry.vm) : "");
    const direct = new LatencyRecorder();
    const through = new LatencyRecorder();
    onProgress(`${String(requestsPerS)} requests/s for ${String(seconds)} s, on each path`);
    const before = await fetchUsage(fleet);
    await runOpenLoop({ requestsPerS, seconds, direct, through, engines, entryClient });
    const after = await fetchUsage(fleet);
    const stalls = await measureStalls(fleet, entryClient);
    await Promise.all([...engines, entryClient].map((client) => client.close()));
    const [directSummary, throughSummary] = [direct.getSummary(), through.getSummary()];
    return {
      requestsPerS,
      seconds,
      direct: directSummary,
      throughEntry: throughSummary,
      addedP50Ms: throughSummary.p50 - directSummary.p50,
      addedP99Ms: throughSummary.p99 - directSummary.p99,
      entryRssBytes: after.rssBytes,
      ...stalls,
      entryCpuShare: (after.cpuMs - before.cpuMs) / (after.uptimeMs - before.uptimeMs),
    };
  } finally {
    await fleet.stop();
  }
};

/** Measures event-loop stalls with and without prompts of a million tokens. */
const measureStalls = async (
  fleet: LocalFleet,
  client: LoadClient,
): Promise<Pick<OverheadReport, "millionTokensStallMs" | "idleStallMs">> => {
  const fetchMaxStallMs = async (): Promise<number> =>
    (await fleet.fetchStatuses())[0]?.loopDelayMaxMs ?? 0;
  const content = "fold the glue flap ".repeat(MILLION_TOKEN_PROMPT_BYTES / 19);
  const messages = [{ role: "user", content }];
  const body = JSON.stringify({ model: "traductor", max_tokens: 1, stream: true, messages });
  const headers = { authorization: `Bearer ${getExampleKey("nutibara")}` };
  await fetchMaxStallMs();
  const startMs = performance.now();
  for (let i = 0; i < STALL_PROMPT_COUNT; i += 1) {
    const intendedMs = performance.now();
    await client.prompt({ path: "/v1/chat/completions", body, headers, intendedMs });
  }
  const millionTokensStallMs = await fetchMaxStallMs();
  await new Promise((resolve) => setTimeout(resolve, performance.now() - startMs));
  return { millionTokensStallMs, idleStallMs: await fetchMaxStallMs() };
};

const fetchUsage = async (
  fleet: LocalFleet,
): Promise<{ cpuMs: number; uptimeMs: number; rssBytes: number }> => {
  const [status] = await fleet.fetchStatuses();
  return status ?? { cpuMs: 0, uptimeMs: 0, rssBytes: 0 };
};

/** Sends one request on each path for every arrival, so both paths get the full rate. */
const runOpenLoop = async (options: {
  requestsPerS: number;
  seconds: number;
  direct: LatencyRecorder;
  through: LatencyRecorder;
  engines: readonly LoadClient[];
  entryClient: LoadClient;
}): Promise<void> => {
  const { requestsPerS, seconds, direct, through, engines, entryClient } = options;
  const random = new SeededRandom(ARRIVAL_SEED);
  const headers = { authorization: `Bearer ${getExampleKey("nutibara")}` };
  const startMs = performance.now();
  const untilMs = startMs + WARM_UP_MS + seconds * 1_000;
  const pending: Promise<void>[] = [];
  let nextMs = startMs;
  for (let i = 0; nextMs < untilMs; i += 1) {
    nextMs += nextExponential(random, 1_000 / requestsPerS);
    await sleepUntil(nextMs);
    const intendedMs = nextMs;
    const call = { path: "/v1/chat/completions", body: newBody(i), headers, intendedMs };
    const isCounted = intendedMs > startMs + WARM_UP_MS;
    const send = async (
      client: LoadClient | undefined,
      recorder: LatencyRecorder,
    ): Promise<void> => {
      const result = await client?.prompt(call);
      if (result && isCounted) {
        recorder.record(result.firstTokenMs, result.isWhole);
      }
    };
    pending.push(send(engines[i % engines.length], direct), send(entryClient, through));
  }
  await Promise.all(pending);
};

const newBody = (i: number): string => {
  const content = `${String(i)} `.padEnd(PROMPT_BYTES, "fold ");
  const messages = [{ role: "user", content }];
  return JSON.stringify({ model: "traductor", max_tokens: OUTPUT_TOKENS, stream: true, messages });
};

const sleepUntil = async (ms: number): Promise<void> => {
  const waitMs = ms - performance.now();
  if (waitMs > 1) {
    await new Promise((resolve) => setTimeout(resolve, waitMs));
  }
};
