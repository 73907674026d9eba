import type { Settings } from "@lycheepulley/daemon";
import { getIdleAnswerMs, getWholeAnswer, type EngineRates } from "@lycheepulley/standins";

import { getExampleKey, type LoadedDeployment } from "../fleet/deployment.js";
import { getOrigin, LocalFleet } from "../fleet/LocalFleet.js";
import { LoadClient, type PromptResult } from "../load/httpLoad.js";
import { getPrompt, type Arrival } from "./workload.js";

const MS_PER_S = 1_000;
const PROBE_COUNT = 5;
const PROBE_TOKENS = 2_000;
const PROBE_OUTPUT_TOKENS = 40;

/** Result of one arrival; times are in model time. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly isFinished: boolean;
  /** Whether the request was answered without being run. */
  readonly isRejected: boolean;
  readonly code: string;
  /** Whether the answer, if finished, equals the expected one. */
  readonly isCorrect: boolean;
  /** Time to the whole answer, divided by that on an idle engine. */
  readonly slowdown: number | undefined;
}

export interface PolicyRun {
  readonly policy: Settings["placement"];
  readonly outcomes: readonly Outcome[];
  /** Median of measured over computed time of requests that run alone on the fleet. */
  readonly idleRatio: number;
  /** Model time from the start until the last request ended. */
  readonly spanMs: number;
  readonly cache: { readonly promptTokens: number; readonly cachedTokens: number };
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Runs the arrivals on a newly started fleet with one placement policy. */
export const runPolicy = async (options: {
  loaded: LoadedDeployment;
  entryPoint: string;
  folder: string;
  policy: Settings["placement"];
  arrivals: readonly Arrival[];
  rates: EngineRates;
  timeScale: number;
  onProgress: (line: string) => void;
}): Promise<PolicyRun> => {
  const { loaded, entryPoint, folder, policy, arrivals, rates, timeScale, onProgress } = options;
  const fleet = new LocalFleet({
    ...{ loaded: scaleToModelTime(loaded, timeScale), entryPoint, folder, timeScale },
    settings: { placement: policy },
  });
  await fleet.start();
  const clients = fleet.entries.map(({ vm }) => new LoadClient(getOrigin(vm)));
  try {
    const send = newSender({ clients, model: loaded.deployment.model, rates, timeScale });
    const idleRatio = await measureIdleRatio(send);
    const startMs = performance.now();
    const pending: Promise<Outcome>[] = [];
    for (const arrival of arrivals) {
      const dueMs = startMs + arrival.atMs / timeScale;
      await sleep(Math.max(0, dueMs - performance.now()));
      pending.push(send(arrival, dueMs));
      if (arrival.index > 0 && arrival.index % 500 === 0) {
        onProgress(
          `${policy}: ${String(arrival.index)} of ${String(arrivals.length)} requests sent`,
        );
      }
    }
    const outcomes = await Promise.all(pending);
    const spanMs = (performance.now() - startMs) * timeScale;
    return { policy, outcomes, idleRatio, spanMs, cache: await fetchCacheStats(fleet) };
  } finally {
    await Promise.all(clients.map((client) => client.close()));
    await fleet.stop();
  }
};

type Sender = (arrival: Arrival, intendedMs: number) => Promise<Outcome>;

const newSender =
  (options: {
    clients: readonly LoadClient[];
    model: string;
    rates: EngineRates;
    timeScale: number;
  }): Sender =>
  async (arrival, intendedMs) => {
    const { clients, model, rates, timeScale } = options;
    const prompt = getPrompt(arrival);
    const body = JSON.stringify({
      ...{ model, stream: true, max_tokens: arrival.outputTokens },
      messages: [{ role: "user", content: prompt }],
    });
    const client = clients[arrival.index % clients.length];
    const headers = { authorization: `Bearer ${getExampleKey(arrival.customer)}` };
    const result = await client?.prompt({
      ...{ path: "/v1/chat/completions", body, headers, intendedMs },
    });
    return newOutcome({ arrival, prompt, result, rates, timeScale });
  };

const NOT_RUN_VERDICTS: readonly (string | undefined)[] = ["not_run", "refused_until"];

const newOutcome = (options: {
  arrival: Arrival;
  prompt: string;
  result: PromptResult | undefined;
  rates: EngineRates;
  timeScale: number;
}): Outcome => {
  const { arrival, prompt, result, rates, timeScale } = options;
  const { promptTokens, outputTokens } = arrival;
  const isFinished = result?.isWhole ?? false;
  const totalMs = (result?.totalMs ?? 0) * timeScale;
  const firstTokenMs = result?.firstTokenMs;
  return {
    ...{ arrival, totalMs, isFinished },
    firstTokenMs: firstTokenMs === undefined ? undefined : firstTokenMs * timeScale,
    isRejected: NOT_RUN_VERDICTS.includes(result?.error?.verdict),
    code: result?.error?.code ?? "",
    isCorrect: !isFinished || result?.text === getWholeAnswer(prompt, outputTokens),
    slowdown: isFinished ? totalMs / getIdleAnswerMs(rates, promptTokens, outputTokens) : undefined,
  };
};

/**
 * Sends a few requests one after the other and compares their times with the engines' configured
 * rates.
 */
const measureIdleRatio = async (send: Sender): Promise<number> => {
  const ratios: number[] = [];
  for (let i = 0; i < PROBE_COUNT; i += 1) {
    const arrival: Arrival = {
      ...{ index: -1 - i, atMs: 0, promptTokens: PROBE_TOKENS, prefixIndex: undefined },
      ...{ outputTokens: PROBE_OUTPUT_TOKENS, customer: "" },
    };
    const { slowdown } = await send(arrival, performance.now());
    ratios.push(slowdown ?? 1);
  }
  return ratios.sort((a, b) => a - b)[Math.floor(PROBE_COUNT / 2)] ?? 1;
};

/** Scales patience and prefill rate, which count in real time, to the speed of model time. */
const scaleToModelTime = (loaded: LoadedDeployment, timeScale: number): LoadedDeployment => {
  const classes = Object.fromEntries(
    Object.entries(loaded.config.classes).map(([name, { patienceMs }]) => [
      name,
      { patienceMs: Math.max(MS_PER_S, Math.round(patienceMs / timeScale)) },
    ]),
  );
  const model = loaded.config.models[loaded.deployment.model];
  const prefillTokensPerS = (model?.prefillTokensPerS ?? 1) * timeScale;
  const overlays = Object.fromEntries(
    Object.entries(loaded.bundle.overlays).map(([site, overlay]) => [
      site,
      {
        ...overlay,
        classes,
        models: { [loaded.deployment.model]: { prefillTokensPerS } },
      },
    ]),
  );
  return { ...loaded, bundle: { ...loaded.bundle, overlays } };
};

const fetchCacheStats = async (fleet: LocalFleet): Promise<PolicyRun["cache"]> => {
  let promptTokens = 0;
  let cachedTokens = 0;
  for (const vm of fleet.engineVms) {
    const { cache } = (await fleet.fetch(getOrigin(vm), "/standin/ledger")) as {
      cache: PolicyRun["cache"];
    };
    promptTokens += cache.promptTokens;
    cachedTokens += cache.cachedTokens;
  }
  return { promptTokens, cachedTokens };
};
