import { writeFile } from "node:fs/promises";

import { settingsSchema, type Settings } from "@lycheepulley/daemon";
import { bench, newHtmlReport, type PolicySummary } from "@lycheepulley/tools";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { ENTRY_POINT, EXAMPLES_FOLDER, newRunFolder } from "../paths.js";
import { formatTable } from "../table.js";

const placementSchema = settingsSchema.shape.placement;

const parsePolicies = (text: string): Settings["placement"][] =>
  text.split(",").map((name) => {
    const parsed = placementSchema.safeParse(name);
    if (!parsed.success) {
      throw new UsageError(`--policies: unknown policy "${name}"`);
    }
    return parsed.data;
  });

/** Compares placement policies under the same seeded load. */
export const benchCommand: Command = {
  name: "bench",
  summary: "Compare placement policies on stand-ins under the same seeded load",
  flags: {
    deployment: { type: "string", help: "caixa-dobrada or medellin", default: "medellin" },
    policies: {
      type: "string",
      help: "Placement policies, separated by commas",
      default: "round-robin,least-tokens,ours",
    },
    load: { type: "number", help: "Load as a fraction of capacity", default: 0.8 },
    longShare: {
      type: "number",
      help: "Fraction of prompts with over 100,000 tokens",
      default: 0.02,
    },
    seconds: {
      type: "number",
      help: "Time during which requests arrive, seconds of simulated time",
      default: 90,
    },
    timeScale: {
      type: "number",
      help: "Simulated time runs this many times faster than real time",
      default: 2,
    },
    seed: { type: "number", help: "Random seed of the arrivals", default: 1 },
    json: { type: "string", help: "Write the results as JSON to this file" },
    html: { type: "string", help: "Write an HTML report with plots to this file" },
  },
  example: "lycheepulley bench --deployment medellin --policies least-tokens,ours --json out.json",
  run: async (ctx) => {
    const report = await bench({
      examples: EXAMPLES_FOLDER,
      entryPoint: ENTRY_POINT,
      folder: newRunFolder("bench"),
      deployment: ctx.getString("deployment"),
      policies: parsePolicies(ctx.getString("policies")),
      load: ctx.getNumber("load"),
      longShare: ctx.getNumber("longShare"),
      seconds: ctx.getNumber("seconds"),
      timeScale: ctx.getNumber("timeScale"),
      seed: ctx.getNumber("seed"),
      onProgress: ctx.print,
    });
    const [json, html] = [ctx.getOptional("json"), ctx.getOptional("html")];
    if (json !== undefined) {
      await writeFile(json, JSON.stringify(report, undefined, 2));
    }
    if (html !== undefined) {
      await writeFile(html, newHtmlReport(report));
    }
    ctx.print(formatSummaries(report.policies));
    const violations = report.policies.reduce((sum, policy) => sum + policy.violations, 0);
    return violations === 0 ? ExitCode.Done : ExitCode.Failed;
  },
};

/** Formats a row for each policy; each band of prompt lengths has a column of first-token times. */
const formatSummaries = (policies: readonly PolicySummary[]): string => {
  const bands = Object.keys(policies[0]?.ttftMs ?? {});
  return formatTable(
    [
      "policy",
      ...bands.map((band) => `ttft ms ${band}: p50/p95/p99`),
      "short slowdown",
      "longest p95 s",
      "answers/s",
      "refused",
      "failed",
      "violations",
    ],
    policies.map((policy) => [
      policy.policy,
      ...bands.map((band) => {
        const quantiles = policy.ttftMs[band];
        return [quantiles?.p50, quantiles?.p95, quantiles?.p99]
          .map((ms) => (ms ?? 0).toFixed(0))
          .join("/");
      }),
      [policy.shortSlowdown.p50, policy.shortSlowdown.p95, policy.shortSlowdown.p99]
        .map((ratio) => ratio.toFixed(2))
        .join("/"),
      (policy.longestMs.p95 / 1_000).toFixed(1),
      policy.goodput.toFixed(2),
      String(policy.refused),
      String(policy.failed),
      String(policy.violations),
    ]),
  );
};
