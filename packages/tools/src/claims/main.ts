import Table from "cli-table3";

import { measureClaimRate } from "./claimRates.js";

const RATES = [1, 10, 100, 400, 1_000];
const SECONDS = 10;

const table = new Table({
  head: [
    "claims/s",
    "granted",
    "failed",
    "appends/s",
    "refused",
    "bytes/claim",
    "p50 ms",
    "p95 ms",
    "p99 ms",
  ],
  style: { head: [], border: [] },
});
for (const rate of RATES) {
  const r = await measureClaimRate(rate, SECONDS);
  table.push([
    ...[r.claimsPerS, r.granted, r.failed].map(String),
    ...[r.appendsPerS, r.refusedAppends, r.bytesPerClaim, r.p50Ms, r.p95Ms, r.p99Ms].map((value) =>
      value.toFixed(1),
    ),
  ]);
}
process.stdout.write(`${table.toString()}\n`);
