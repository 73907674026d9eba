import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";

import { build } from "esbuild";

const LOADER = "target/lycheepulley.cjs";
/** The flags of the run line in system.toml: V8 takes a code cache only under the same flags. */
const RUN_FLAGS = ["--max-old-space-size=160"];

// V8 tells bundles apart by their length only, so the cache of an older one goes first.
rmSync("target/gateway.cache", { force: true });

// Bundles the gateway process and its dependencies into target/gateway.cjs, which the loader runs.
// The condition "source" resolves workspace packages to their TypeScript sources, so no build has
// to run before.
await build({
  entryPoints: { gateway: "platform/src/run.ts" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  logLevel: "warning",
});
copyFileSync("deploy/loader.cjs", LOADER);
execFileSync(process.execPath, [...RUN_FLAGS, LOADER, "--write-cache"]);
