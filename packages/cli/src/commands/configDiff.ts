import { isJsonObject } from "@lycheepulley/core";
import { readConfigRegister } from "@lycheepulley/operators";

import { ExitCode, type Command } from "../Command.js";
import { JSON_FLAG, LOG_FLAG, withSession } from "../flags.js";
import { readBundle } from "./configApply.js";

/** A value that differs between two configurations; undefined where it is missing. */
interface Difference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Shows how files differ from the newest accepted configuration. */
export const configDiffCommand: Command = {
  name: "config diff",
  summary: "Show what a configuration would change",
  flags: {
    base: { type: "string", help: "Base file", isRequired: true },
    overlays: { type: "string", help: "Overlay files, separated by commas", default: "" },
    log: LOG_FLAG,
    json: JSON_FLAG,
  },
  example: "lycheepulley config diff --base base.json --log http://127.0.0.1:7000",
  run: async (ctx) => {
    const after = await readBundle(ctx.getString("base"), ctx.getOptional("overlays") ?? "");
    return withSession(ctx, (session) => {
      const current = readConfigRegister(session.config.current);
      const before = { base: current?.body.base ?? {}, overlays: current?.body.overlays ?? {} };
      const differences = findDifferences(before, after, "");
      if (ctx.getBoolean("json")) {
        ctx.printJson({ against: current?.revision ?? 0, differences });
      } else {
        ctx.print(`against revision ${String(current?.revision ?? 0)}:`);
        differences.forEach(({ path, before: oldValue, after: newValue }) => {
          ctx.print(
            `${path}: ${JSON.stringify(oldValue) ?? "-"} -> ${JSON.stringify(newValue) ?? "-"}`,
          );
        });
        ctx.print(`${String(differences.length)} differences`);
      }
      return Promise.resolve(ExitCode.Done);
    });
  },
};

const findDifferences = (before: unknown, after: unknown, path: string): Difference[] => {
  if (isJsonObject(before) && isJsonObject(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap((key) =>
      findDifferences(before[key], after[key], path === "" ? key : `${path}.${key}`),
    );
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
};
