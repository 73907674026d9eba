import { measureOverhead } from "@lycheepulley/tools";
import { writeFile } from "node:fs/promises";

import { ExitCode, type Command } from "../Command.js";
import { ENTRY_POINT, EXAMPLES_FOLDER, newRunFolder } from "../paths.js";
import { formatTable } from "../table.js";

const BYTES_PER_MB = 1_000_000;

/** Measures the latency that an entry process adds, compared with direct calls to the engines. */
export const overheadCommand: Command = {
  name: "overhead",
  summary: "Measure how much one entry process adds to the time to first token",
  flags: {
    rate: {
      type: "number",
      help: "Requests per second, sent directly and as many through the entry process",
      default: 500,
    },
    seconds: {
      type: "number",
      help: "Duration of the measurement after the warm-up, seconds",
      default: 20,
    },
    json: { type: "string", help: "Write the results as JSON to this file" },
  },
  example: "lycheepulley overhead --rate 500 --json overhead.json",
  run: async (ctx) => {
    const report = await measureOverhead({
      examples: EXAMPLES_FOLDER,
      entryPoint: ENTRY_POINT,
      folder: newRunFolder("overhead"),
      requestsPerS: ctx.getNumber("rate"),
      seconds: ctx.getNumber("seconds"),
      onProgress: ctx.print,
    });
    const jsonFile = ctx.getOptional("json");
    if (jsonFile !== undefined) {
      await writeFile(jsonFile, JSON.stringify(report, undefined, 2));
    }
    const routes = [
      { name: "direct", ...report.direct },
      { name: "through entry", ...report.throughEntry },
    ];
    ctx.print(
      formatTable(
        ["way", "answers", "failed", "p50 ms", "p95 ms", "p99 ms"],
        routes.map(({ name, count, failed, ...latency }) => [
          name,
          String(count),
          String(failed),
          ...[latency.p50, latency.p95, latency.p99].map((ms) => ms.toFixed(2)),
        ]),
      ),
    );
    ctx.print(
      `added: p50 ${report.addedP50Ms.toFixed(2)} ms, p99 ${report.addedP99Ms.toFixed(2)} ms; ` +
        `memory ${(report.entryRssBytes / BYTES_PER_MB).toFixed(0)} MB, ` +
        `${(report.entryCpuShare * 100).toFixed(0)}% of a core`,
    );
    ctx.print(
      `longest stall of the event loop: ${report.millionTokensStallMs.toFixed(0)} ms with prompts of a ` +
        `million tokens, ${report.idleStallMs.toFixed(0)} ms without`,
    );
    return ExitCode.Done;
  },
};
