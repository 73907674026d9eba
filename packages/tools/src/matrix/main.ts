import { writeFile } from "node:fs/promises";
import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";

import type { Protections } from "@lycheepulley/core";
import Table from "cli-table3";
import meow from "meow";

import type { Cell, CellResult } from "./cells.js";
import { PROMISES } from "./checks.js";
import { FAULT_NAMES } from "./faults.js";
import { MatrixPart, planCells } from "./plan.js";
import { BREAKABLE_PROTECTIONS } from "./protections.js";

const DEFAULT_SEED = 1;
const MAX_WORKERS = 6;
const PROGRESS_EVERY = 500;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const MAX_SHOWN_FAILURES = 12;

const cli = meow(
  `
  Usage
    $ npm run matrix -- [flags]

  Flags
    --part    single, twice, pairs or all (all)
    --seed    Seed of every cell (1)
    --break   Switch one protection off: ${Object.keys(BREAKABLE_PROTECTIONS).join(", ")}
    --json    Write the results to this file

  Example
    $ npm run matrix -- --part single --break read-back
`,
  {
    importMeta: import.meta,
    flags: {
      part: { type: "string", default: "all" },
      seed: { type: "number", default: DEFAULT_SEED },
      break: { type: "string" },
      json: { type: "string" },
    },
    allowUnknownFlags: false,
  },
);

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const planParts = (part: string, seed: number): Cell[] => {
  const parts = Object.values(MatrixPart);
  const selected = part === "all" ? parts : parts.filter((name) => name === part);
  return selected.flatMap((name) => planCells(name, seed));
};

/** Runs the cells on worker threads; the results are in the order of the cells. */
const runCells = async (
  cells: readonly Cell[],
  disabled: Partial<Protections>,
): Promise<CellResult[]> => {
  const results = new Array<CellResult>(cells.length);
  let next = 0;
  let done = 0;
  const runWorker = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(new URL("./worker.js", import.meta.url), { workerData: disabled });
      const sendNextCell = (): void => {
        const index = next;
        const cell = cells[index];
        next += 1;
        if (!cell) {
          void worker.terminate();
          resolve();
          return;
        }
        worker.once("message", (result: CellResult) => {
          results[index] = result;
          done += 1;
          if (done % PROGRESS_EVERY === 0) {
            print(`${String(done)} of ${String(cells.length)} cells`);
          }
          sendNextCell();
        });
        worker.postMessage(cell);
      };
      worker.on("error", reject);
      sendNextCell();
    });
  const workers = Math.max(1, Math.min(MAX_WORKERS, availableParallelism() - 1));
  await Promise.all(Array.from({ length: workers }, runWorker));
  return results;
};

/**
 * Text of a table cell: the number of passed cells, FAIL with the number of failed ones, or a dot.
 */
const formatMark = (results: readonly CellResult[]): string => {
  const run = results.filter(({ cannotArise }) => cannotArise === undefined);
  if (run.length === 0) {
    return ".";
  }
  const failed = run.filter(({ violations }) => violations.length > 0).length;
  return failed > 0 ? `FAIL ${String(failed)}` : String(run.length);
};

const printTable = (results: readonly CellResult[]): void => {
  const table = new Table({
    head: ["step", ...FAULT_NAMES],
    style: { head: [], border: [], compact: true },
    wordWrap: true,
    colWidths: [24, ...FAULT_NAMES.map(() => 11)],
  });
  for (const step of new Set(results.map(({ cell }) => cell.step))) {
    const row = results.filter(({ cell }) => cell.step === step);
    const marks = FAULT_NAMES.map((fault) =>
      formatMark(row.filter(({ cell }) => cell.faults.includes(fault))),
    );
    table.push([step, ...marks]);
  }
  print(table.toString());
  print(
    "n: cells passed; FAIL n: cells failed; dot: combination can't occur, for one of these reasons:",
  );
  const reasons = new Set(results.map(({ cannotArise }) => cannotArise).filter(Boolean));
  reasons.forEach((reason) => {
    print(`  - ${reason ?? ""}`);
  });
};

const printPromiseCounts = (results: readonly CellResult[]): void => {
  const run = results.filter(({ cannotArise }) => cannotArise === undefined);
  for (const promise of PROMISES) {
    const failed = run.filter(({ violations }) => violations.some((v) => v.promise === promise));
    print(
      `${promise}: ${String(run.length - failed.length)} kept, ${String(failed.length)} broken`,
    );
  }
  run
    .filter(({ violations }) => violations.length > 0)
    .slice(0, MAX_SHOWN_FAILURES)
    .forEach(({ cell, violations }) => {
      const where = `${cell.kind} / ${cell.step} / ${cell.faults.join(" + ")}`;
      print(`FAIL ${where}: ${violations.map((v) => `${v.promise}: ${v.detail}`).join("; ")}`);
    });
};

const main = async (): Promise<number> => {
  const { part, seed, json } = cli.flags;
  const cells = planParts(part, seed);
  const disabled =
    cli.flags.break === undefined ? undefined : BREAKABLE_PROTECTIONS[cli.flags.break];
  if (cells.length === 0 || (cli.flags.break !== undefined && !disabled)) {
    process.stderr.write(
      cells.length === 0 ? `unknown part: ${part}\n` : "unknown protection for --break\n",
    );
    return EXIT_USAGE;
  }
  const results = await runCells(cells, disabled ? { [disabled.protection]: false } : {});
  printTable(results);
  printPromiseCounts(results);
  const run = results.filter(({ cannotArise }) => cannotArise === undefined);
  const failed = run.filter(({ violations }) => violations.length > 0).length;
  if (json !== undefined) {
    const counts = { cells: results.length, run: run.length, failed, seed };
    await writeFile(json, JSON.stringify({ ...counts, results }, undefined, 1));
  }
  print(`${String(run.length - failed)} passed, ${String(failed)} failed`);
  return failed > 0 ? EXIT_FAILED : 0;
};

process.exitCode = await main();
