import { build } from "esbuild";

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
