import { readFile } from "node:fs/promises";

import { newRequestTimeline } from "@lycheepulley/telemetry";

import { ExitCode, UsageError, type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";

const MIN_ARGS = 2;

/** Tells one request's story from collected log files. */
export const explainCommand: Command = {
  name: "explain",
  summary: "Tell one request's story from the logs of any processes",
  operands: ["request-id", "file..."],
  flags: { json: JSON_FLAG },
  example: "lycheepulley explain 9c41d07be2a35f68 edge-1.log edge-2.log",
  run: async (ctx) => {
    const [requestId = "", ...files] = ctx.args;
    if (ctx.args.length < MIN_ARGS) {
      throw new UsageError("explain needs a request id and at least one log file");
    }
    const texts = await Promise.all(files.map((file) => readFile(file, "utf8")));
    const story = newRequestTimeline(
      requestId,
      texts.flatMap((text) => text.split("\n")),
    );
    if (ctx.getBoolean("json")) {
      ctx.printJson(story);
    } else {
      story.steps.forEach(({ atMs, process, text }) => {
        ctx.print(`${String(atMs).padStart(7)} ms  ${process}  ${text}`);
      });
      ctx.print(story.end);
    }
    return story.steps.length > 0 ? ExitCode.Done : ExitCode.Failed;
  },
};
