import { readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import Table from "cli-table3";
import meow from "meow";

import { computeCapacity } from "./capacity.js";
import { measureSlopes, SLOPE_POINTS, type SlopeReading } from "./slopes.js";

const cli = meow(
  `
  Usage
    $ npm run slopes -- [flags]

  Flags
    --json     Write the readings to this file
    --seconds  Seconds of each reading (15)
    --from     Compute the capacity from an earlier file instead of measuring

  Example
    $ npm run slopes -- --from docs/slopes.json
`,
  {
    importMeta: import.meta,
    flags: {
      json: { type: "string" },
      seconds: { type: "number", default: 15 },
      from: { type: "string" },
    },
    allowUnknownFlags: false,
  },
);

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};
const toPath = (relative: string): string => fileURLToPath(new URL(relative, import.meta.url));

const getReadings = async (): Promise<SlopeReading[]> => {
  if (cli.flags.from !== undefined) {
    return JSON.parse(await readFile(cli.flags.from, "utf8")) as SlopeReading[];
  }
  return measureSlopes({
    examples: toPath("../../../../examples"),
    entryPoint: toPath("../../../cli/bin/lycheepulley.js"),
    folder: join(tmpdir(), `lycheepulley-slopes-${String(Date.now())}`),
    points: SLOPE_POINTS,
    seconds: cli.flags.seconds,
    onProgress: print,
  });
};

const readings = await getReadings();
const style = { head: [], border: [] };
const measured = new Table({
  head: [
    "processes",
    "engines",
    "req/s",
    "once",
    "changes/s",
    "CPU %",
    "max",
    "MB",
    "bytes/s",
    "max",
    "appends/s",
    "reads/s",
  ],
  style,
});
for (const r of readings) {
  measured.push([
    ...[r.entryProcesses, r.engines, r.requestsPerS, r.onceShare, r.changesPerS].map(String),
    ...[r.cpuPercent, r.maxCpuPercent].map((value) => value.toFixed(2)),
    r.rssMb.toFixed(0),
    ...[r.bytesPerS, r.maxBytesPerS].map((value) => value.toFixed(0)),
    r.totalAppendsPerS.toFixed(2),
    r.readsPerS.toFixed(2),
  ]);
}
print(measured.toString());
const capacity = new Table({
  head: ["role", "quantity", "at the target", "bound", "formula"],
  style,
});
for (const { role, quantity, value, bound, formula } of computeCapacity(readings)) {
  const shown = value.toPrecision(3);
  capacity.push([role, quantity, shown, bound === undefined ? "" : String(bound), formula]);
}
print(capacity.toString());
if (cli.flags.json !== undefined) {
  await writeFile(cli.flags.json, `${JSON.stringify(readings, undefined, 2)}\n`);
}
