import { isAsPromised, runDemo } from "@lycheepulley/tools";

import { type Command } from "../Command.js";
import { ENTRY_POINT, EXAMPLES_FOLDER, newRunFolder } from "../paths.js";
import { reportFailedRows } from "../reportFailedRows.js";
import { formatTable } from "../table.js";

/** Starts a small deployment on stand-ins and sends it one request of each kind. */
export const demoCommand: Command = {
  name: "demo",
  summary: "Start a small deployment on stand-ins and send it one request of each kind",
  flags: {
    json: { type: "boolean", help: "Print JSON" },
    engines: { type: "number", help: "Engines; the longest prompt needs several", default: 4 },
    stopEngine: { type: "boolean", help: "End an engine before the requests are sent" },
  },
  example: "lycheepulley demo",
  run: async (ctx) => {
    const isJson = ctx.getBoolean("json");
    const rows = await runDemo({
      examples: EXAMPLES_FOLDER,
      entryPoint: ENTRY_POINT,
      folder: newRunFolder("demo"),
      engines: ctx.getNumber("engines"),
      stopsEngine: ctx.getBoolean("stopEngine"),
      onProgress: (line) => {
        if (!isJson) {
          ctx.print(line);
        }
      },
    });
    if (isJson) {
      ctx.printJson(rows);
    } else {
      ctx.print(
        formatTable(
          ["request", "status", "ms", "fate", "request id", "answer"],
          rows.map((row) => [
            row.name,
            String(row.status),
            String(row.ms),
            row.fate,
            row.requestId,
            row.detail,
          ]),
        ),
      );
    }
    return reportFailedRows(
      rows.filter((row) => !isAsPromised(row)),
      ctx,
    );
  },
};
