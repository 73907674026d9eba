import { join } from "node:path";

import type { Settings } from "@lycheepulley/daemon";
import { engineRatesSchema } from "@lycheepulley/standins";

import { readDeployment } from "../fleet/deployment.js";
import { runPolicy } from "./runPolicy.js";
import { summarize, type PolicySummary } from "./summary.js";
import { getCapacity, newArrivals } from "./workload.js";

export interface BenchOptions {
  readonly examples: string;
  readonly entryPoint: string;
  readonly folder: string;
  readonly deployment: string;
  readonly policies: readonly Settings["placement"][];
  /** Load as a share of the engines' capacity. */
  readonly load: number;
  /** Share of prompts over 100 k tokens. */
  readonly longShare: number;
  /** Time over which requests arrive, in seconds of model time. */
  readonly seconds: number;
  /** Model time over real time. */
  readonly timeScale: number;
  readonly seed: number;
  readonly onProgress: (line: string) => void;
}

export interface BenchReport {
  readonly deployment: string;
  readonly settings: Readonly<Record<string, number>>;
  readonly policies: readonly PolicySummary[];
}

/** Runs each placement policy in turn on the same seeded arrivals, with real processes. */
export const bench = async (options: BenchOptions): Promise<BenchReport> => {
  const {
    deployment: name,
    policies,
    load,
    longShare,
    seconds,
    timeScale,
    seed,
    onProgress,
  } = options;
  const loaded = await readDeployment(options.examples, name);
  const { deployment, config } = loaded;
  const model = config.models[deployment.model];
  const rates = engineRatesSchema.parse({
    kvTokens: model?.engineKvTokens,
    maxStreams: model?.maxStreamsPerEngine,
    prefillTokensPerS: model?.prefillTokensPerS,
  });
  const capacity = getCapacity({ deployment, rates, longShare });
  const requestsPerS = capacity * load;
  const arrivals = newArrivals({ deployment, requestsPerS, seconds, longShare, seed });
  onProgress(
    `${name}: ${String(arrivals.length)} requests at ${requestsPerS.toFixed(2)}/s of model time, ` +
      `${(load * 100).toFixed(0)}% of capacity`,
  );
  const summaries: PolicySummary[] = [];
  for (const policy of policies) {
    const run = await runPolicy({
      ...{ loaded, policy, arrivals, rates, timeScale, onProgress },
      entryPoint: options.entryPoint,
      folder: join(options.folder, policy),
    });
    summaries.push(summarize(run));
    const unfinished = run.outcomes.filter(({ isFinished }) => !isFinished);
    const codes = new Set(unfinished.map(({ code }) => code));
    onProgress(
      `${policy}: done; ${String(unfinished.length)} not finished ${[...codes].join(" ")}`,
    );
  }
  return {
    deployment: name,
    settings: { load, longShare, seconds, timeScale, seed, capacity, requestsPerS },
    policies: summaries,
  };
};
