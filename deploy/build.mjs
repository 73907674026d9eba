import { build } from "esbuild";

// Bundles the gateway process and its dependencies into target/lycheepulley.cjs. The condition
// "source" resolves workspace packages to their TypeScript sources, so no build has to run before.
await build({
  entryPoints: { lycheepulley: "platform/src/main.ts" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  logLevel: "warning",
});
