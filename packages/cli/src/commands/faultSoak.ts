import { buildCommit, runFaultSoak } from "@lycheepulley/platform/soak";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";

const DEFAULT_LOAD_SECONDS = 40;
/** Each needs some 100 MB and a loopback address. */
const MAX_PROCESSES = 160;

/** Injects a seeded schedule of faults into real processes on stand-ins of the users' platform. */
export const faultSoakCommand: Command = {
  name: "fault-soak",
  summary:
    "Inject faults into real processes on stand-ins of the users' platform, check the promises",
  flags: {
    seed: { type: "number", default: 1, help: "Random seed of load and faults" },
    seconds: {
      type: "number",
      default: DEFAULT_LOAD_SECONDS,
      help: "Duration of the load, seconds",
    },
    crashes: { type: "boolean", help: "Parts of prompts crash engines, too" },
    notices: { type: "boolean", help: "Workers ask for rest and say that they leave, too" },
    cuts: { type: "boolean", help: "Processes lose their links to all workers, too" },
    warmups: {
      type: "boolean",
      help: "Pools have a warm-up: zones are emptied and workers become cold, too",
    },
    hushed: {
      type: "boolean",
      help: "Instead: sound workers fall silent beside restarts, signals and new configurations",
    },
    endings: {
      type: "boolean",
      help: "Instead: processes end and start in overlapping work beside connections used late",
    },
    answers: {
      type: "boolean",
      help: "Instead: workers end answers in ways of their own beside restarts and cut links",
    },
    floods: {
      type: "boolean",
      help: "Instead: workers write bytes without end beside restarts, signals and frozen processes",
    },
    losses: {
      type: "boolean",
      help: "Instead: processes are killed, also all at once, beside a request that crashes workers and engines that fall silent",
    },
    configs: {
      type: "boolean",
      help: "Instead: configurations change, valid and not, beside restarts and moves of the store",
    },
    restarts: {
      type: "boolean",
      help: "As --configs, and the store begins again at lower offsets and is slow, too",
    },
    processes: { type: "number", default: 3, help: "Number of gateway processes" },
    beside: {
      type: "string",
      help: "Earlier commit of this repository, whose build runs beside this one",
    },
    commit: {
      type: "string",
      help: "Earlier commit of this repository, whose build runs in place of this one",
    },
    json: JSON_FLAG,
  },
  example: "lycheepulley fault-soak --seed 3 --seconds 20",
  run: async (ctx) => {
    const processes = ctx.getNumber("processes");
    if (!Number.isInteger(processes) || processes < 2 || processes > MAX_PROCESSES) {
      throw new UsageError(`--processes must be an integer from 2 to ${String(MAX_PROCESSES)}`);
    }
    const beside = ctx.getOptional("beside");
    const commit = ctx.getOptional("commit");
    const report = await runFaultSoak({
      seed: ctx.getNumber("seed"),
      seconds: ctx.getNumber("seconds"),
      hasCrashes: ctx.getBoolean("crashes"),
      hasNotices: ctx.getBoolean("notices"),
      hasCuts: ctx.getBoolean("cuts"),
      hasWarmUp: ctx.getBoolean("warmups"),
      isHushed: ctx.getBoolean("hushed"),
      hasEndings: ctx.getBoolean("endings"),
      hasAnswerEnds: ctx.getBoolean("answers"),
      hasFloods: ctx.getBoolean("floods"),
      hasLosses: ctx.getBoolean("losses"),
      hasConfigs: ctx.getBoolean("configs") || ctx.getBoolean("restarts"),
      hasStoreRestarts: ctx.getBoolean("restarts"),
      processes,
      ...(beside !== undefined && { besideFile: await buildCommit(beside) }),
      ...(commit !== undefined && { program: await buildCommit(commit) }),
    });
    if (ctx.getBoolean("json")) {
      ctx.printJson(report);
    } else {
      const { seed, requests, startupMs, maxStallMs, answers, faults, violations, logs } = report;
      const { checkedProbes, answerEnds, floods } = report;
      ctx.print(`seed ${String(seed)}: ${String(requests)} requests`);
      ctx.print(`all processes ready after ${String(startupMs)} ms`);
      ctx.print(`longest stall of the stand-ins: ${String(maxStallMs)} ms`);
      ctx.print(`answers by status: ${JSON.stringify(answers)}`);
      ctx.print(`faults: ${JSON.stringify(faults)}`);
      ctx.print(`probes held to the bounds of configurations: ${String(checkedProbes)}`);
      if (answerEnds) {
        const { endings, ends, wholeStreams, wholeStreamsCut } = answerEnds;
        const { wholeCalls, wholeCallsRefused } = answerEnds;
        ctx.print(`endings of workers: ${JSON.stringify(endings)}`);
        ctx.print(`ends that callers saw: ${JSON.stringify(ends)}`);
        ctx.print(
          `whole streams without framing: ${String(wholeStreams)}, not whole for their caller: ${String(wholeStreamsCut)}`,
        );
        ctx.print(
          `whole calls without framing: ${String(wholeCalls)}, answered 502: ${String(wholeCallsRefused)}`,
        );
      }
      if (floods) {
        const { forms, peakMb, longestMs, servedBeside, servedCalm } = floods;
        ctx.print(
          `floods: ${JSON.stringify(forms)}, in resumptions: ${String(floods.resumptions)}`,
        );
        ctx.print(`answers to flooded requests: ${JSON.stringify(floods.answers)}`);
        ctx.print(`other requests served beside floods: ${servedBeside}, without: ${servedCalm}`);
        ctx.print(`most memory of a process: ${String(peakMb)} MB`);
        ctx.print(`longest flood: ${String(longestMs)} ms`);
      }
      ctx.print(`violations: ${String(violations.length)}${logs ? `, logs in ${logs}` : ""}`);
      violations.forEach(({ rule, attempt, detail }) => {
        ctx.print(`  ${rule} ${attempt}: ${detail}`);
      });
    }
    return report.violations.length === 0 ? ExitCode.Done : ExitCode.Failed;
  },
};
