import { nextExponential, nextInt, SeededRandom, type Random } from "@lycheepulley/core";
import { getStepMs, type EngineRates } from "@lycheepulley/standins";

import type { Deployment } from "../fleet/deployment.js";

const MS_PER_S = 1_000;

/** Distribution of prompt lengths in tokens: heavy-tailed, one in fifty above 100 k. */
const BANDS = [
  { share: 0.7, from: 1_000, to: 4_000 },
  { share: 0.18, from: 4_000, to: 16_000 },
  { share: 0.1, from: 16_000, to: 100_000 },
  { share: 0.02, from: 100_000, to: 1_000_000 },
] as const;
const MIN_OUTPUT_TOKENS = 20;
const MAX_OUTPUT_TOKENS = 180;
/** Share of prompts that begin with one of their customer's common prefixes. */
const SHARED_PREFIX_SHARE = 0.3;
const PREFIXES_PER_CUSTOMER = 4;

/** One request of the seeded workload. */
export interface Arrival {
  readonly index: number;
  /** Milliseconds of model time since the start. */
  readonly atMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly customer: string;
  /** Index of the customer's common prefix; undefined if the prompt has none. */
  readonly prefixIndex: number | undefined;
}

const pickBand = (random: Random, longShare: number): (typeof BANDS)[number] => {
  const scale = (1 - longShare) / (1 - BANDS[3].share);
  let remaining = random.next();
  for (const band of BANDS.slice(0, -1)) {
    remaining -= band.share * scale;
    if (remaining < 0) {
      return band;
    }
  }
  return BANDS[3];
};

const pickCustomer = (random: Random, deployment: Deployment): string => {
  const total = deployment.customers.reduce((sum, { share }) => sum + share, 0);
  let remaining = random.next() * total;
  const found = deployment.customers.find(({ share }) => (remaining -= share) < 0);
  return found?.name ?? deployment.customers[0]?.name ?? "";
};

const newArrival = (
  random: Random,
  options: { index: number; atMs: number; deployment: Deployment; longShare: number },
): Arrival => {
  const { index, atMs, deployment, longShare } = options;
  const { from, to } = pickBand(random, longShare);
  const promptTokens = Math.round(from * (to / from) ** random.next());
  const isShared = random.next() < SHARED_PREFIX_SHARE && promptTokens < BANDS[2].from;
  return {
    ...{ index, atMs, promptTokens },
    outputTokens: MIN_OUTPUT_TOKENS + nextInt(random, MAX_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS),
    customer: pickCustomer(random, deployment),
    prefixIndex: isShared ? nextInt(random, PREFIXES_PER_CUSTOMER) : undefined,
  };
};

/** Milliseconds of engine time that a request takes when the engine's batch is full. */
const getDemandMs = (
  rates: EngineRates,
  { promptTokens, outputTokens }: Pick<Arrival, "promptTokens" | "outputTokens">,
): number => {
  const prefillMs = (promptTokens / rates.prefillTokensPerS) * MS_PER_S;
  const stepMs = getStepMs(rates, rates.maxStreams, 0);
  return prefillMs + (outputTokens * stepMs) / rates.maxStreams;
};

const CAPACITY_SAMPLES = 200_000;
const CAPACITY_SEED = 97;

/** Requests a second at which all engines of a deployment are fully loaded. */
export const getCapacity = (options: {
  deployment: Deployment;
  rates: EngineRates;
  longShare: number;
}): number => {
  const { deployment, rates, longShare } = options;
  const random = new SeededRandom(CAPACITY_SEED);
  let demandMs = 0;
  for (let index = 0; index < CAPACITY_SAMPLES; index += 1) {
    demandMs += getDemandMs(rates, newArrival(random, { index, atMs: 0, deployment, longShare }));
  }
  return (deployment.modelWorkers * MS_PER_S) / (demandMs / CAPACITY_SAMPLES);
};

/** Generates seeded arrivals of a Poisson process over `seconds` of model time. */
export const newArrivals = (options: {
  deployment: Deployment;
  requestsPerS: number;
  seconds: number;
  longShare: number;
  seed: number;
}): Arrival[] => {
  const { deployment, requestsPerS, seconds, longShare, seed } = options;
  const random = new SeededRandom(seed);
  const arrivals: Arrival[] = [];
  let atMs = nextExponential(random, MS_PER_S / requestsPerS);
  for (let index = 0; atMs < seconds * MS_PER_S; index += 1) {
    arrivals.push(newArrival(random, { index, atMs, deployment, longShare }));
    atMs += nextExponential(random, MS_PER_S / requestsPerS);
  }
  return arrivals;
};

const BYTES_PER_TOKEN = 4;
const PREFIX_TOKENS = 800;
const FILLER = "fold the glue flap over the score line and keep the varnish off the window ";

/** Generates the prompt text of a request, with its length and prefix. */
export const getPrompt = ({ index, promptTokens, customer, prefixIndex }: Arrival): string => {
  const bytes = promptTokens * BYTES_PER_TOKEN;
  const prefix =
    prefixIndex === undefined
      ? ""
      : `${customer} ${String(prefixIndex)} `.padEnd(PREFIX_TOKENS * BYTES_PER_TOKEN, FILLER);
  return `${prefix}${String(index)} `.padEnd(bytes, FILLER).slice(0, bytes);
};
