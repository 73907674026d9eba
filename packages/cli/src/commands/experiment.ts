import {
  CostPolicy,
  PATTERNS,
  runExperiment,
  type ExperimentResult,
  type Pattern,
} from "@lycheepulley/simulation";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";
import { formatTable } from "../table.js";

const parsePatterns = (text: string): readonly Pattern[] => {
  if (text === "all") {
    return PATTERNS;
  }
  return text.split(",").map((name) => {
    const pattern = PATTERNS.find((known) => known.name === name);
    if (!pattern) {
      const names = PATTERNS.map((known) => known.name).join(", ");
      throw new UsageError(`--patterns: unknown pattern "${name}"; known are ${names}`);
    }
    return pattern;
  });
};

const parseSeeds = (text: string): number[] =>
  text.split(",").map((seed) => {
    if (!/^\d+$/.test(seed)) {
      throw new UsageError(`--seeds: "${seed}" is not a whole number`);
    }
    return Number(seed);
  });

const COST_POLICIES = Object.values(CostPolicy);

const parseCosts = (text: string): CostPolicy => {
  const policy = COST_POLICIES.find((known) => known === text);
  if (!policy) {
    throw new UsageError(
      `--costs: unknown policy "${text}"; known are ${COST_POLICIES.join(", ")}`,
    );
  }
  return policy;
};

/** Plays load patterns on the decision modules, without a network and on an injected clock. */
export const experimentCommand: Command = {
  name: "experiment",
  summary: "Play load patterns on the placement and admission modules, without a network",
  flags: {
    patterns: { type: "string", help: "Patterns, separated by commas, or all", default: "all" },
    seeds: { type: "string", help: "Random seeds, separated by commas", default: "1,2,3" },
    costs: {
      type: "string",
      help: `What is known of costs: ${COST_POLICIES.join(", ")}`,
      default: CostPolicy.Quantiles,
    },
    shares: { type: "boolean", help: "Customers have shares of the fleet", default: false },
    json: JSON_FLAG,
  },
  example: "lycheepulley experiment --patterns surges-while-replaced --seeds 1,2,3",
  run: async (ctx) => {
    const seeds = parseSeeds(ctx.getString("seeds"));
    const costs = parseCosts(ctx.getString("costs"));
    const sharesRoom = ctx.getBoolean("shares");
    const results: ExperimentResult[] = [];
    for (const pattern of parsePatterns(ctx.getString("patterns"))) {
      for (const seed of seeds) {
        results.push(await runExperiment({ ...pattern, sharesRoom }, seed, costs));
      }
    }
    if (ctx.getBoolean("json")) {
      ctx.printJson(results);
    } else {
      ctx.print(formatResults(results));
    }
    return ExitCode.Done;
  },
};

const formatResults = (results: readonly ExperimentResult[]): string =>
  formatTable(
    [
      "pattern",
      "seed",
      "credit",
      "worst windows",
      "by class",
      "late",
      "refused",
      "failed",
      "customers",
    ],
    results.map(({ pattern, seed, day, worstWindows, classes, customers }) => [
      ...[pattern, String(seed), day.share.toFixed(3), worstWindows.toFixed(3)],
      classes.map(({ name, share }) => `${name} ${share.toFixed(2)}`).join(", "),
      ...[String(day.late), String(day.refused), String(day.failed)],
      customers.map(({ name, share }) => `${name} ${share.toFixed(2)}`).join(", "),
    ]),
  );
