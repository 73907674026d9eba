import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";

import { build } from "esbuild";

/** Folder for the bundle; the platform runs what lies in target/. */
const folder = process.argv[2] ?? "target";
const LOADER = join(folder, "lycheepulley.cjs");
/** The flags of the run line in system.toml: V8 takes a code cache only under the same flags. */
const RUN_FLAGS = ["--max-old-space-size=160"];

/** Has the bundle load only the parts of libraries that the gateway uses, which saves a fifth of the processor time of a start. */
const libraryParts = {
  name: "library-parts",
  setup: ({ onResolve }) => {
    onResolve({ filter: /^(undici|prom-client|hdr-histogram-js)$/ }, ({ path }) => ({
      path: resolve("deploy/parts", `${path}.cjs`),
    }));
  },
};

// V8 tells bundles apart by their length only, so the cache of an older one goes first.
rmSync(join(folder, "gateway.cache"), { force: true });

// Bundles the gateway process and its dependencies into gateway.cjs, which the loader runs.
// The condition "source" resolves workspace packages to their TypeScript sources, so no build has
// to run before.
await build({
  entryPoints: { gateway: "platform/src/run.ts" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  outdir: folder,
  outExtension: { ".js": ".cjs" },
  logLevel: "warning",
  plugins: [libraryParts],
});
copyFileSync("deploy/loader.cjs", LOADER);
execFileSync(process.execPath, [...RUN_FLAGS, LOADER, "--write-cache"]);
