import { writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import meow from "meow";

import { soak } from "./soak.js";

const SHOWN_VIOLATIONS = 5;

const cli = meow(
  `
  Usage
    $ npm run soak -- [flags]

  Flags
    --requests  Requests, resends not counted (5000)
    --rate      Requests a second (40)
    --seed      Seed of load and faults (1)
    --json      Write the report to this file

  Example
    $ npm run soak -- --seed 2 --json soak.json
`,
  {
    importMeta: import.meta,
    flags: {
      requests: { type: "number", default: 5_000 },
      rate: { type: "number", default: 40 },
      seed: { type: "number", default: 1 },
      json: { type: "string" },
    },
    allowUnknownFlags: false,
  },
);

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const toPath = (relative: string): string => fileURLToPath(new URL(relative, import.meta.url));

const report = await soak({
  examples: toPath("../../../../examples"),
  entryPoint: toPath("../../../cli/bin/lycheepulley.js"),
  folder: join(tmpdir(), `lycheepulley-soak-${String(Date.now())}`),
  requests: cli.flags.requests,
  requestsPerS: cli.flags.rate,
  seed: cli.flags.seed,
  onProgress: print,
});
const violations = report.checks.reduce((sum, check) => sum + check.violations.length, 0);
print(
  `${String(report.requests)} requests, ${String(report.nonIdempotent)} non-idempotent, ` +
    `${String(report.resent)} of them resends`,
);
print(`told: ${JSON.stringify(report.told)}`);
print(`faults: ${JSON.stringify(report.faults)}`);
for (const { name, checked, violations: found } of report.checks) {
  print(`${name}: ${String(checked)} checked, ${String(found.length)} violations`);
  found.slice(0, SHOWN_VIOLATIONS).forEach((line) => {
    print(`  ${line}`);
  });
}
if (cli.flags.json !== undefined) {
  await writeFile(cli.flags.json, JSON.stringify(report, undefined, 2));
}
process.exitCode = violations > 0 ? 1 : 0;
