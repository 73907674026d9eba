import { SeededRandom } from "@lycheepulley/core";

import { readDeployment } from "../fleet/deployment.js";
import { getOrigin, LocalFleet } from "../fleet/LocalFleet.js";
import { CRASH_TEXT, runSoak } from "./schedule.js";
import { SoakCaller } from "./SoakCaller.js";
import { verifySoak, type SoakCheck } from "./verify.js";

const TIME_SCALE = 4;
const CALLERS = 12;
/** Time for the entry processes to write the last fates to the log. */
const FLUSH_MS = 3_000;

export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly nonIdempotent: number;
  readonly resent: number;
  readonly told: Readonly<Record<string, number>>;
  readonly faults: Readonly<Record<string, number>>;
  readonly checks: readonly SoakCheck[];
}

/**
 * Runs real processes under a seeded schedule of faults and checks the results against the
 * upstreams' ledgers.
 */
export const soak = async (options: {
  examples: string;
  entryPoint: string;
  folder: string;
  requests: number;
  requestsPerS: number;
  seed: number;
  onProgress: (line: string) => void;
}): Promise<SoakReport> => {
  const { seed, requests, requestsPerS, onProgress } = options;
  const loaded = await readDeployment(options.examples, "medellin");
  const fleet = new LocalFleet({
    ...{ loaded, entryPoint: options.entryPoint, folder: options.folder },
    timeScale: TIME_SCALE,
    crashOn: CRASH_TEXT,
    logLevel: "warn",
  });
  onProgress("starting 6 entry processes, 16 engines and 3 services");
  await fleet.start();
  try {
    const bootstrapOrigins = fleet.entries.map(({ vm }) => getOrigin(vm));
    const callers = Array.from(
      { length: CALLERS },
      (_, i) =>
        new SoakCaller({
          random: new SeededRandom(seed + 100 + i),
          customer: "nutibara",
          bootstrapOrigins,
        }),
    );
    const { records, counts } = await runSoak({
      fleet,
      callers,
      requests,
      requestsPerS,
      seed,
      onProgress,
    });
    await Promise.all(callers.map((caller) => caller.close()));
    await new Promise((resolve) => setTimeout(resolve, FLUSH_MS));
    onProgress("comparing results with the upstreams' ledgers and the fates");
    const checks = await verifySoak(fleet, records);
    const told: Record<string, number> = {};
    records.forEach((record) => {
      const name = record.told === "finished" ? "finished" : `${record.told} ${record.code}`;
      told[name] = (told[name] ?? 0) + 1;
    });
    const keyedRecords = records.filter(({ key }) => key !== undefined);
    const keyCount = new Set(keyedRecords.map(({ key }) => key)).size;
    return {
      ...{ seed, told, checks, faults: counts },
      requests: records.length,
      nonIdempotent: keyedRecords.length,
      resent: keyedRecords.length - keyCount,
    };
  } finally {
    await fleet.stop();
  }
};
