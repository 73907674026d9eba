import { buildCommit, END_CASES, EndTrial, Seen } from "@lycheepulley/platform/soak";

import { ExitCode, UsageError, type Command } from "../Command.js";

const DEFAULT_ANSWERS = 24;

/** Ends answers at workers in every way before real processes, and counts what callers see. */
export const answerEndsCommand: Command = {
  name: "answer-ends",
  summary: "End answers at stand-in workers in every way, count those told as whole that aren't",
  flags: {
    answers: { type: "number", default: DEFAULT_ANSWERS, help: "Answers of each case" },
    commit: { type: "string", help: "Earlier commit whose build runs; without the relayed cases" },
    program: { type: "string", help: "File that runs instead, which can cut its links by a file" },
    only: { type: "string", default: "", help: "Text in the names of the cases to run" },
  },
  example: "lycheepulley answer-ends --answers 24",
  run: async (ctx) => {
    const answers = ctx.getNumber("answers");
    if (!Number.isInteger(answers) || answers < 1) {
      throw new UsageError("--answers must be a positive integer");
    }
    const commit = ctx.getOptional("commit");
    const only = ctx.getOptional("only") ?? "";
    // The program of a build can't cut its links.
    const cases = END_CASES.filter(
      ({ name, gateway }) => name.includes(only) && !(commit && gateway === "relayed"),
    );
    if (cases.length === 0) {
      throw new UsageError(`no case with "${only}" in its name`);
    }
    const program = commit === undefined ? ctx.getOptional("program") : await buildCommit(commit);
    const trial = await EndTrial.start({ cases, ...(program !== undefined && { program }) });
    try {
      const rows = await trial.run(answers);
      const wrong = rows.reduce((sum, { seen }) => sum + (seen[Seen.Wrong] ?? 0), 0);
      ctx.printJson({ ...(commit !== undefined && { commit }), answers, wrong, cases: rows });
      return wrong === 0 ? ExitCode.Done : ExitCode.Failed;
    } finally {
      await trial.close();
    }
  },
};
