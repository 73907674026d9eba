import { readFile } from "node:fs/promises";

import { newRequestTimeline } from "@lycheepulley/telemetry";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";

const MIN_ARG_COUNT = 2;

/** Reconstructs the timeline of one request from log files of any processes. */
export const explainCommand: Command = {
  name: "explain",
  summary: "Show the timeline of one request from the logs of any processes",
  operands: ["request-id", "file..."],
  flags: { json: JSON_FLAG },
  example: "lycheepulley explain 9c41d07be2a35f68 edge-1.log edge-2.log",
  run: async (ctx) => {
    const [requestId = "", ...files] = ctx.args;
    if (ctx.args.length < MIN_ARG_COUNT) {
      throw new UsageError("explain needs a request id and at least one log file");
    }
    const texts = await Promise.all(files.map((file) => readFile(file, "utf8")));
    const timeline = newRequestTimeline(
      requestId,
      texts.flatMap((text) => text.split("\n")),
    );
    if (ctx.getBoolean("json")) {
      ctx.printJson(timeline);
    } else {
      timeline.steps.forEach(({ atMs, process, text }) => {
        ctx.print(`${String(atMs).padStart(7)} ms  ${process}  ${text}`);
      });
      ctx.print(timeline.end);
    }
    return timeline.steps.length > 0 ? ExitCode.Done : ExitCode.Failed;
  },
};
