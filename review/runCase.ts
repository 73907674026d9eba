import { writeFileSync } from "node:fs";
import { join } from "node:path";

import type { Outcome } from "./callers.js";
import { Deployment } from "./Deployment.js";
import { ROOT } from "./Gateway.js";
import type { Run } from "./WorkerStandin.js";

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
/** Names of the results by exit status. */
const RESULTS = ["held", "broken", "could not run"] as const;
const LIMIT_MS = 110_000;

/** What a case saw. */
export interface Verdict {
  readonly outcomes: readonly Outcome[];
  /** One line for each way in which the rule was broken. */
  readonly breaks: readonly string[];
  /** The case didn't bring about what it is about. */
  readonly problem?: string | undefined;
}

/** Lines that a case adds to its record. */
export type Note = (text: string) => void;

/** Whether the disruption is made. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Runs a case, writes its record, and ends the process with the status that tells the result. */
export const runCase = async (
  number: number,
  play: (deployment: Deployment, note: Note) => Promise<Verdict>,
): Promise<void> => {
  const deployment = new Deployment();
  const lines: string[] = [`case ${String(number)}, trouble: ${hasTrouble ? "yes" : "no"}`];
  const note: Note = (text) => {
    lines.push(`${formatMs(deployment.now())} ${text}`);
  };
  const write = (): void => {
    writeFileSync(join(ROOT, "review", String(number), "record.txt"), `${lines.join("\n")}\n`);
  };
  const limit = setTimeout(() => {
    note("the case took too long");
    write();
    void deployment.close().then(() => process.exit(COULD_NOT_RUN));
  }, LIMIT_MS);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      void deployment.close().then(() => process.exit(COULD_NOT_RUN));
    });
  }
  let status = COULD_NOT_RUN;
  try {
    const { outcomes, breaks, problem } = await play(deployment, note);
    lines.push("", "answers as clients got them:", ...outcomes.map(formatOutcome));
    lines.push("", "runs as workers saw them:", ...deployment.runs.map(formatRun), "");
    if (breaks.length > 0) {
      status = BROKEN;
    } else if (problem === undefined) {
      status = HELD;
    }
    lines.push(...breaks.map((text) => `BROKEN: ${text}`));
    lines.push(problem === undefined ? "" : `PROBLEM: ${problem}`);
  } catch (err) {
    lines.push(`could not run: ${err instanceof Error ? (err.stack ?? err.message) : String(err)}`);
  }
  lines.push(`result: ${RESULTS[status] ?? ""}`);
  clearTimeout(limit);
  await deployment.close();
  write();
  process.stdout.write(`${lines.slice(-8).join("\n")}\n`);
  process.exit(status);
};

const formatMs = (ms: number): string => `${(ms / 1_000).toFixed(3).padStart(8)} s`;

const formatOutcome = (outcome: Outcome): string =>
  [
    `${formatMs(outcome.sentMs)} ${outcome.attemptId}`,
    `status ${String(outcome.status ?? "none")}`,
    `sealed ${String(outcome.seal !== undefined)}`,
    `framing ${outcome.framing ?? "none"}`,
    `complete ${String(outcome.isComplete)}`,
    `events ${String(outcome.eventIds.length)}`,
    `ended ${formatMs(outcome.endMs).trim()}`,
    outcome.error === undefined ? "" : `error ${outcome.error}`,
  ].join(", ");

const formatRun = (run: Run): string =>
  [
    `${formatMs(run.atMs)} ${run.attemptId} at ${run.worker}`,
    `from event ${String(run.lastEventId + 1)}`,
    `events ${String(run.eventsSent)}`,
    `whole ${String(run.isWhole)}`,
    `ended ${run.endMs === undefined ? "never" : formatMs(run.endMs).trim()}`,
  ].join(", ");
