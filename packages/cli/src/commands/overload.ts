import {
  buildCommit,
  isInTime,
  listBroken,
  OverloadTrial,
  runOverloadSoak,
  TARGET_MS,
} from "@lycheepulley/platform/soak";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";

/** Violations that are printed. */
const MAX_VIOLATIONS = 10;
const LEAVE_MODES = ["close", "half_close", "reset"] as const;

/** Loads real processes beyond what they can serve and checks what callers get. */
export const overloadCommand: Command = {
  name: "overload",
  summary: "Load real processes beyond their capacity on stand-ins, check what callers get",
  flags: {
    rate: { type: "string", default: "3500", help: "Requests a second; several by commas" },
    seconds: { type: "number", default: 10, help: "Duration of each load, seconds" },
    processes: { type: "number", default: 1, help: "Number of gateway processes" },
    leave: { type: "string", default: "close", help: `How callers leave: ${LEAVE_MODES.join()}` },
    chunks: { type: "boolean", help: "Bodies are sent in chunks" },
    kept: { type: "boolean", help: "Callers keep their connections" },
    streams: { type: "number", default: 0, help: "Share of the requests that are streams" },
    soak: {
      type: "boolean",
      help: "Instead: bursts of all kinds beside restarts, signals and new configurations",
    },
    seed: { type: "number", default: 1, help: "Random seed of the soak" },
    commit: { type: "string", help: "Earlier commit whose build runs in place of this one" },
    json: JSON_FLAG,
  },
  example: "lycheepulley overload --rate 3500 --leave reset",
  run: async (ctx) => {
    const leave = LEAVE_MODES.find((mode) => mode === ctx.getOptional("leave"));
    if (!leave) {
      throw new UsageError(`--leave must be one of ${LEAVE_MODES.join(", ")}`);
    }
    const rates = (ctx.getOptional("rate") ?? "").split(",").map(Number);
    if (!rates.every((rate) => rate > 0)) {
      throw new UsageError("--rate must be positive numbers, separated by commas");
    }
    const commit = ctx.getOptional("commit");
    if (ctx.getBoolean("soak")) {
      const soaked = await runOverloadSoak({
        ...{ seed: ctx.getNumber("seed"), seconds: ctx.getNumber("seconds") },
        ...(ctx.getNumber("processes") > 1 && { processes: ctx.getNumber("processes") }),
        ...(commit !== undefined && { program: await buildCommit(commit) }),
      });
      ctx.printJson({ ...soaked, violations: soaked.violations.slice(0, MAX_VIOLATIONS) });
      return soaked.violations.length === 0 ? ExitCode.Done : ExitCode.Failed;
    }
    const trial = await OverloadTrial.start({
      processes: ctx.getNumber("processes"),
      ...(commit !== undefined && { program: await buildCommit(commit) }),
    });
    let isKept = true;
    try {
      for (const perSecond of rates) {
        const { attempts, ...report } = await trial.run({
          ...{ perSecond, seconds: ctx.getNumber("seconds"), leave },
          ...{ body: ctx.getBoolean("chunks") ? ("chunks" as const) : ("whole" as const) },
          ...{ isKept: ctx.getBoolean("kept"), streamShare: ctx.getNumber("streams") },
        });
        const broken = [
          ...listBroken(report),
          ...(isInTime(report, TARGET_MS)
            ? []
            : [`99% of the answers with 200 within ${String(report.okP99Ms)} ms`]),
        ];
        isKept &&= broken.length === 0;
        if (ctx.getBoolean("json")) {
          ctx.printJson({ perSecond, requests: attempts.length, ...report, broken });
        } else {
          ctx.print(`${String(perSecond)} a second: ${String(attempts.length)} requests`);
          ctx.print(`  ${JSON.stringify(report)}`);
          broken.forEach((text) => {
            ctx.print(`  broken: ${text}`);
          });
        }
      }
    } finally {
      await trial.close();
    }
    return isKept ? ExitCode.Done : ExitCode.Failed;
  },
};
