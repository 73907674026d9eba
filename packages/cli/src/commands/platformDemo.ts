import { runPlatformDemo } from "@lycheepulley/platform/standin";

import { type Command } from "../Command.js";
import { JSON_FLAG } from "../flags.js";
import { reportFailedRows } from "../reportFailedRows.js";
import { formatTable } from "../table.js";

/** Sends one request of each kind to entry processes on stand-ins of the users' platform. */
export const platformDemoCommand: Command = {
  name: "platform-demo",
  summary: "Serve one request of each kind on stand-ins of the users' platform",
  flags: { json: JSON_FLAG },
  example: "lycheepulley platform-demo",
  run: async (ctx) => {
    const rows = await runPlatformDemo();
    if (ctx.getBoolean("json")) {
      ctx.printJson(rows);
    } else {
      ctx.print(
        formatTable(
          ["request", "status", "ms", "answer"],
          rows.map((row) => [row.name, String(row.status), String(row.ms), row.detail]),
        ),
      );
    }
    return reportFailedRows(
      rows.filter(({ isAsPromised }) => !isAsPromised),
      ctx,
    );
  },
};
