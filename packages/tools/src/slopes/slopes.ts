import { join } from "node:path";

import type { ConfigBundle } from "@lycheepulley/core";
import type { NodeStatus } from "@lycheepulley/nodes";

import { getExampleKey, readDeployment, type LoadedDeployment } from "../fleet/deployment.js";
import { getOrigin, LocalFleet } from "../fleet/LocalFleet.js";
import { LoadClient } from "../load/httpLoad.js";

const MS_PER_S = 1_000;
/** Time for JIT compilation and membership to settle before a reading. */
const SETTLE_MS = 10_000;
const PROMPT_BYTES = 4_000;

/** Size and load of the fleet at which a reading is taken. */
export interface SlopePoint {
  readonly entryProcesses: number;
  readonly engines: number;
  readonly requestsPerS: number;
  /** Share of non-idempotent service calls among the requests. */
  readonly onceShare: number;
  readonly changesPerS: number;
}

/** Control cost of one process: the mean over all processes and the maximum. */
export interface SlopeReading extends SlopePoint {
  readonly cpuPercent: number;
  readonly maxCpuPercent: number;
  readonly rssMb: number;
  readonly maxRssMb: number;
  readonly bytesPerS: number;
  readonly maxBytesPerS: number;
  readonly bytesPerSByPeer: Readonly<Record<string, number>>;
  readonly appendsPerS: number;
  readonly readsPerS: number;
  readonly connections: number;
  /** Sum over all processes. */
  readonly totalAppendsPerS: number;
}

/** Points that vary one of: processes, engines, requests, claims and configuration changes. */
export const SLOPE_POINTS: readonly SlopePoint[] = [
  ...[6, 12, 24, 48].map((entryProcesses) => newPoint({ entryProcesses })),
  ...[16, 64].map((engines) => newPoint({ engines })),
  ...[10, 40].map((requestsPerS) => newPoint({ requestsPerS, engines: 16 })),
  newPoint({ requestsPerS: 40, onceShare: 1, engines: 16 }),
  newPoint({ changesPerS: 0.5 }),
];

function newPoint(change: Partial<SlopePoint>): SlopePoint {
  return {
    ...{ entryProcesses: 6, engines: 4, requestsPerS: 0, onceShare: 0, changesPerS: 0 },
    ...change,
  };
}

/** Takes a reading at each point, on a newly started fleet each time. */
export const measureSlopes = async (options: {
  examples: string;
  entryPoint: string;
  folder: string;
  points: readonly SlopePoint[];
  seconds: number;
  onProgress: (line: string) => void;
}): Promise<SlopeReading[]> => {
  const loaded = await readDeployment(options.examples, "medellin");
  const readings: SlopeReading[] = [];
  for (const [i, point] of options.points.entries()) {
    options.onProgress(
      `${String(i + 1)} of ${String(options.points.length)}: ${JSON.stringify(point)}`,
    );
    const folder = join(options.folder, String(i));
    readings.push(await measurePoint({ ...options, loaded, folder, point }));
  }
  return readings;
};

const measurePoint = async (options: {
  loaded: LoadedDeployment;
  entryPoint: string;
  folder: string;
  point: SlopePoint;
  seconds: number;
}): Promise<SlopeReading> => {
  const { loaded, entryPoint, folder, point, seconds } = options;
  const fleet = new LocalFleet({
    ...{ loaded, entryPoint, folder, timeScale: 10 },
    entryProcesses: point.entryProcesses,
    modelWorkers: point.engines,
  });
  await fleet.start();
  const load = new LoadGenerator(fleet, loaded, point);
  try {
    load.start();
    await sleep(SETTLE_MS);
    const before = await fleet.fetchStatuses();
    await sleep(seconds * MS_PER_S);
    const after = await fleet.fetchStatuses();
    return newReading(point, before, after);
  } finally {
    await load.stop();
    await fleet.stop();
  }
};

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends requests and publishes configurations at a steady rate. */
class LoadGenerator {
  readonly #fleet: LocalFleet;
  readonly #loaded: LoadedDeployment;
  readonly #point: SlopePoint;
  readonly #clients: readonly LoadClient[];
  readonly #timers: NodeJS.Timeout[] = [];
  #sequence = 0;

  constructor(fleet: LocalFleet, loaded: LoadedDeployment, point: SlopePoint) {
    this.#fleet = fleet;
    this.#loaded = loaded;
    this.#point = point;
    this.#clients = fleet.entries.map(({ vm }) => new LoadClient(getOrigin(vm)));
  }

  start(): void {
    const { requestsPerS, changesPerS } = this.#point;
    if (requestsPerS > 0) {
      this.#timers.push(setInterval(() => void this.#send(), MS_PER_S / requestsPerS));
    }
    if (changesPerS > 0) {
      this.#timers.push(setInterval(() => void this.#publishChange(), MS_PER_S / changesPerS));
    }
  }

  async stop(): Promise<void> {
    this.#timers.forEach((timer) => {
      clearInterval(timer);
    });
    await Promise.all(this.#clients.map((client) => client.close()));
  }

  async #send(): Promise<void> {
    this.#sequence += 1;
    const id = String(this.#sequence);
    const client = this.#clients[this.#sequence % this.#clients.length];
    const isOnce = this.#point.onceShare === 1;
    const messages = [{ role: "user", content: `${id} `.padEnd(PROMPT_BYTES, "línea ") }];
    const prompt = JSON.stringify({ model: "traductor", stream: true, max_tokens: 8, messages });
    await client?.prompt({
      path: isOnce ? "/services/taller/glossary" : "/v1/chat/completions",
      headers: {
        authorization: `Bearer ${getExampleKey("nutibara")}`,
        ...(isOnce ? { "idempotency-key": id } : {}),
      },
      body: isOnce ? "término" : prompt,
      intendedMs: performance.now(),
    });
  }

  async #publishChange(): Promise<void> {
    this.#sequence += 1;
    const { bundle } = this.#loaded;
    const limits = { maxQueuedRequests: 1_000 + this.#sequence };
    const changed: ConfigBundle = { ...bundle, base: { ...bundle.base, limits } };
    await this.#fleet.publishConfig(changed, `change ${String(this.#sequence)}`).catch(() => 0);
  }
}

const getControlBytes = ({ sentBytes, receivedBytes, traffic }: NodeStatus): number =>
  Object.values(traffic).reduce(
    (sum, peer) => sum + peer.sentBytes + peer.receivedBytes,
    sentBytes + receivedBytes,
  );

const newReading = (
  point: SlopePoint,
  before: readonly NodeStatus[],
  after: readonly NodeStatus[],
): SlopeReading => {
  const pairs = after.flatMap((status, i) => {
    const earlier = before[i];
    return earlier
      ? [{ status, earlier, seconds: (status.uptimeMs - earlier.uptimeMs) / MS_PER_S }]
      : [];
  });
  const getRates = (getCounter: (status: NodeStatus) => number): number[] =>
    pairs.map(
      ({ status, earlier, seconds }) => (getCounter(status) - getCounter(earlier)) / seconds,
    );
  const cpu = getRates(({ cpuMs }) => cpuMs / MS_PER_S).map((share) => share * 100);
  const rss = after.map(({ rssBytes }) => rssBytes / 1e6);
  const bytes = getRates(getControlBytes);
  const appends = getRates(({ logAppends }) => logAppends);
  const peers = [...new Set(after.flatMap(({ traffic }) => Object.keys(traffic)))];
  const getPeerBytes =
    (peer: string) =>
    ({ traffic }: NodeStatus): number =>
      (traffic[peer]?.sentBytes ?? 0) + (traffic[peer]?.receivedBytes ?? 0);
  return {
    ...point,
    cpuPercent: mean(cpu),
    maxCpuPercent: Math.max(...cpu),
    rssMb: mean(rss),
    maxRssMb: Math.max(...rss),
    bytesPerS: mean(bytes),
    maxBytesPerS: Math.max(...bytes),
    bytesPerSByPeer: Object.fromEntries([
      ...peers.map((peer) => [peer, mean(getRates(getPeerBytes(peer)))] as const),
      ["served", mean(getRates(({ sentBytes, receivedBytes }) => sentBytes + receivedBytes))],
    ]),
    appendsPerS: mean(appends),
    readsPerS: mean(getRates(({ logReads }) => logReads)),
    connections: mean(after.map(({ connections }) => connections)),
    totalAppendsPerS: appends.reduce((sum, value) => sum + value, 0),
  };
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
