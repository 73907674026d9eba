import { checkBundle, checkConfig, mergeOverlay, type ConfigFault } from "@lycheepulley/core";
import { readJsonFile } from "@lycheepulley/daemon";
import { basename } from "node:path";

import { ExitCode, type Command } from "../Command.js";

/** Validates a base file and an overlay; needs no running process. */
export const configCheckCommand: Command = {
  name: "config check",
  summary: "Check a base file and an overlay offline",
  flags: {
    base: { type: "string", help: "Base file", isRequired: true },
    overlay: { type: "string", help: "Overlay file of one site, named after the site" },
    json: { type: "boolean", help: "Print JSON" },
  },
  example:
    "lycheepulley config check --base examples/medellin/base.json --overlay examples/medellin/poblado.json",
  run: async (ctx) => {
    const base = await readJsonFile(ctx.getString("base"));
    const overlayFile = ctx.getOptional("overlay");
    const overlay = overlayFile === undefined ? {} : await readJsonFile(overlayFile);
    const site = overlayFile === undefined ? undefined : basename(overlayFile, ".json");
    const faults: readonly ConfigFault[] =
      site === undefined ? checkBundle({ base, overlays: {} }) : checkSite(base, overlay, site);
    if (ctx.getBoolean("json")) {
      ctx.printJson({ valid: faults.length === 0, faults });
    } else {
      faults.forEach(({ path, message }) => {
        ctx.print(`${path}: ${message}`);
      });
      ctx.print(faults.length === 0 ? "valid" : `${String(faults.length)} faults`);
    }
    return faults.length === 0 ? ExitCode.Done : ExitCode.Usage;
  },
};

/** Finds faults of the site's effective configuration, and a site that the base doesn't list. */
const checkSite = (
  base: Readonly<Record<string, unknown>>,
  overlay: Readonly<Record<string, unknown>>,
  site: string,
): readonly ConfigFault[] => {
  const effective = checkConfig(mergeOverlay(base, overlay));
  if (!effective.ok) {
    return effective.faults;
  }
  return checkBundle({ base, overlays: { [site]: overlay } });
};
