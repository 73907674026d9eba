import { NodeInspector } from "@lycheepulley/operators";

import { ExitCode, type Command } from "../Command.js";
import { CONTROL_FLAG, getOrigin, JSON_FLAG } from "../flags.js";
import { formatRevisions } from "./configApply.js";

/** Shows the revision in force at each process; fails unless it is the same everywhere. */
export const configStatusCommand: Command = {
  name: "config status",
  summary: "Show the revision and digest in force at each process",
  flags: { control: CONTROL_FLAG, json: JSON_FLAG },
  example: "lycheepulley config status --control http://127.0.0.1:7201",
  run: async (ctx) => {
    const nodes = await new NodeInspector(getOrigin(ctx, "control")).inspectAll();
    const revisions = nodes.map(({ status }) => status?.report.configRevision ?? 0);
    const newest = Math.max(0, ...revisions);
    const isSame = revisions.every((revision) => revision === newest);
    if (ctx.getBoolean("json")) {
      ctx.printJson({
        isSame,
        nodes: nodes.map(({ name, state, status, error }) => ({
          name,
          state,
          revision: status?.report.configRevision ?? null,
          digest: status?.report.configDigest ?? null,
          error: error ?? null,
        })),
      });
    } else {
      ctx.print(formatRevisions(nodes, newest));
    }
    return isSame ? ExitCode.Done : ExitCode.Failed;
  },
};
