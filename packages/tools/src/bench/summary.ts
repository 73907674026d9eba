import { getLengthBand } from "@lycheepulley/core";
import { build } from "hdr-histogram-js";

import type { Outcome, PolicyRun } from "./runPolicy.js";

/** Prompts below this length count as short. */
const SHORT_PROMPT_TOKENS = 16_000;
/** Scale that keeps three decimals of a ratio in a histogram of integers. */
const RATIO_SCALE = 1_000;
const MAX_TRACKED_VALUE = 3_600_000_000;
/** Longest prompt, in tokens, to which the first-token bound for thousand-token prompts applies. */
const MAX_THOUSAND_TOKEN_PROMPT = 1_500;

export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Results of one placement policy; times are in milliseconds of model time. */
export interface PolicySummary {
  readonly policy: string;
  readonly ttftMs: Readonly<Record<string, Quantiles>>;
  /** First token of prompts of about a thousand tokens. */
  readonly ttftThousandMs: Quantiles;
  readonly shortSlowdown: Quantiles;
  readonly longestMs: Quantiles;
  /** Finished answers a second of model time. */
  readonly goodput: number;
  /** Requests that were answered without being run. */
  readonly refused: number;
  readonly failed: number;
  /** Finished answers that differ from the expected ones. */
  readonly violations: number;
  readonly cacheHitRatio: number;
  readonly idleRatio: number;
}

const getQuantiles = (values: readonly number[], scale = 1): Quantiles => {
  const hdr = build({
    highestTrackableValue: MAX_TRACKED_VALUE,
    numberOfSignificantValueDigits: 3,
  });
  values.forEach((value) => {
    hdr.recordValue(Math.max(1, Math.round(value * scale)));
  });
  const at = (percentile: number): number => hdr.getValueAtPercentile(percentile) / scale;
  return { count: values.length, p50: at(50), p95: at(95), p99: at(99) };
};

const BANDS = ["1k-4k", "4k-16k", "16k-100k", "100k-1M"] as const;

/** Computes the results of a run. */
export const summarize = (run: PolicyRun): PolicySummary => {
  const { outcomes, policy, spanMs, cache, idleRatio } = run;
  const finished = outcomes.filter(({ isFinished }) => isFinished);
  const getTtft = (matches: (outcome: Outcome) => boolean): Quantiles =>
    getQuantiles(
      finished
        .filter(matches)
        .flatMap(({ firstTokenMs }) => (firstTokenMs === undefined ? [] : [firstTokenMs])),
    );
  const short = finished.filter(({ arrival }) => arrival.promptTokens < SHORT_PROMPT_TOKENS);
  const longest = finished.filter(
    ({ arrival }) => getLengthBand(arrival.promptTokens) === "100k-1M",
  );
  const refused = outcomes.filter(({ isRejected }) => isRejected).length;
  return {
    policy,
    ttftMs: Object.fromEntries(
      BANDS.map((band) => [
        band,
        getTtft(({ arrival }) => getLengthBand(arrival.promptTokens) === band),
      ]),
    ),
    ttftThousandMs: getTtft(({ arrival }) => arrival.promptTokens <= MAX_THOUSAND_TOKEN_PROMPT),
    shortSlowdown: getQuantiles(
      short.flatMap(({ slowdown }) => slowdown ?? []),
      RATIO_SCALE,
    ),
    longestMs: getQuantiles(longest.map(({ totalMs }) => totalMs)),
    goodput: (finished.length / spanMs) * 1_000,
    refused,
    failed: outcomes.length - finished.length - refused,
    violations: outcomes.filter(({ isCorrect }) => !isCorrect).length,
    cacheHitRatio: cache.cachedTokens / Math.max(1, cache.promptTokens),
    idleRatio,
  };
};
