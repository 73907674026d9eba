import { SeededRandom } from "@lycheepulley/core";
import type { EstimateError } from "@lycheepulley/forwarding";

import { CostPolicy } from "./costPolicies.js";
import type { Pattern } from "./pattern.js";
import { SimulatedCaller, type RequestRecord } from "./SimulatedCaller.js";
import { SimulatedClock } from "./SimulatedClock.js";
import type { DomainSend } from "./DomainSpread.js";
import type { FleetUtilization, LimitPeriod } from "./fleetRecords.js";
import { SimulatedFleet } from "./SimulatedFleet.js";

const WINDOW_MS = 2_000;
const SAMPLE_MS = 500;
/** Windows that count as the worst. */
const WORST_WINDOWS = 2;
/** Share of an answer's worth below which a window with few requests isn't judged. */
const MIN_WINDOW_REQUESTS = 5;

/** Credit of a group of requests: what was earned of what could be. */
export interface Credit {
  readonly name: string;
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Earned worth by owed worth, 0 to 1. */
  readonly share: number;
}

/** Result of one pattern with one seed. */
export interface ExperimentResult {
  readonly pattern: string;
  readonly seed: number;
  readonly day: Credit;
  readonly classes: readonly Credit[];
  /** By customer, where callers have any. */
  readonly customers: readonly Credit[];
  readonly windows: readonly Credit[];
  /** Mean share of the worst windows. */
  readonly worstWindows: number;
  readonly samples: readonly UtilizationSample[];
  readonly sends: readonly DomainSend[];
  readonly coldArrivals: readonly (readonly number[])[];
  readonly errors: readonly EstimateError[];
}

/** Work at the upstreams at one moment of a play. */
export interface UtilizationSample extends FleetUtilization {
  readonly atMs: number;
}

/** What happened when a pattern was played. */
export interface PatternPlay {
  readonly records: readonly RequestRecord[];
  readonly samples: readonly UtilizationSample[];
  readonly limitPeriods: readonly LimitPeriod[];
  /** Prompts sent, with their failure domains. */
  readonly sends: readonly DomainSend[];
  /** Times at which requests arrived at each upstream while it was cold. */
  readonly coldArrivals: readonly (readonly number[])[];
  /** Times at which a part of prompts crashed upstreams, and at which prompts with it arrived there. */
  readonly partCrashes: readonly number[];
  readonly crashingArrivals: readonly number[];
  /** Errors of the estimates, by process. */
  readonly errors: readonly EstimateError[];
}

/** Plays one pattern on an injected clock, and returns what became of each request. */
export const playPattern = async (
  pattern: Pattern,
  seed: number,
  costPolicy?: CostPolicy,
): Promise<PatternPlay> => {
  const clock = new SimulatedClock();
  const fleet = new SimulatedFleet(pattern, clock, new SeededRandom(seed), costPolicy);
  const caller = new SimulatedCaller(pattern, fleet, clock, {
    random: new SeededRandom(seed + 1_000),
    statesTruth: costPolicy === CostPolicy.Hindsight,
  });
  const longestMs = Math.max(...pattern.classes.map(({ deadlineMs }) => deadlineMs));
  const samples: UtilizationSample[] = [];
  const endMs = pattern.lengthMs + longestMs;
  for (let atMs = 0; atMs < endMs; atMs += SAMPLE_MS) {
    await clock.run(atMs);
    samples.push({ atMs, ...fleet.getUtilization() });
  }
  await clock.run(endMs);
  const { limitPeriods, partCrashes } = fleet;
  const { sends } = fleet.domains;
  const crashingArrivals = fleet.getCrashingArrivals();
  const errors = fleet.gateways.flatMap((gateway) => gateway.getErrors());
  const { records } = caller;
  const coldArrivals = fleet.getColdArrivals();
  return {
    records,
    samples,
    limitPeriods,
    sends,
    coldArrivals,
    partCrashes,
    crashingArrivals,
    errors,
  };
};

/** Plays one pattern and sums up its credit; the same seed gives the same result. */
export const runExperiment = async (
  pattern: Pattern,
  seed: number,
  costPolicy?: CostPolicy,
): Promise<ExperimentResult> => {
  const { records, samples, sends, coldArrivals, errors } = await playPattern(
    pattern,
    seed,
    costPolicy,
  );
  return { ...summarize(pattern, seed, records), samples, sends, coldArrivals, errors };
};

const summarize = (
  pattern: Pattern,
  seed: number,
  records: readonly RequestRecord[],
): Omit<ExperimentResult, "samples" | "sends" | "coldArrivals" | "errors"> => {
  const windows: Credit[] = [];
  for (let atMs = 0; atMs < pattern.lengthMs; atMs += WINDOW_MS) {
    const inWindow = records.filter(({ askedMs }) => atMs <= askedMs && askedMs < atMs + WINDOW_MS);
    windows.push(newCredit(String(atMs / 1_000), inWindow));
  }
  const worst = windows
    .filter(({ requests }) => requests >= MIN_WINDOW_REQUESTS)
    .map(({ share }) => share)
    .sort((a, b) => a - b)
    .slice(0, WORST_WINDOWS);
  const customers = (pattern.customers ?? []).map(({ name }) =>
    newCredit(
      name,
      records.filter(({ customer }) => customer === name),
    ),
  );
  return {
    ...{ pattern: pattern.name, seed, windows, customers },
    day: newCredit("day", records),
    classes: pattern.classes.map(({ name }) =>
      newCredit(
        name,
        records.filter(({ className }) => className === name),
      ),
    ),
    worstWindows: worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length),
  };
};

const newCredit = (name: string, records: readonly RequestRecord[]): Credit => {
  const count = (result: RequestRecord["result"]): number =>
    records.filter((record) => record.result === result).length;
  let owed = 0;
  let earned = 0;
  for (const { result, worth, lateWorth } of records) {
    owed += worth;
    earned += result === "inTime" ? worth : result === "late" ? lateWorth : 0;
  }
  return {
    ...{ name, requests: records.length, inTime: count("inTime"), late: count("late") },
    ...{ refused: count("refused"), failed: count("failed") + count("open") },
    share: owed === 0 ? 1 : earned / owed,
  };
};
