import { getEvacuatedDomains, RecordKind, type EvacuationBody } from "@lycheepulley/core";

import { ExitCode, type Command } from "../Command.js";
import { JSON_FLAG, LOG_FLAG, OPERATOR_FLAG, withSession } from "../flags.js";
import { formatTable } from "../table.js";

const PROPOSE_TIMEOUT_MS = 10_000;

/** Requests that nothing new is sent to the upstreams of a failure domain, or ends that. */
export const evacuateCommand: Command = {
  name: "evacuate",
  summary: "Send nothing new to the upstreams of a failure domain",
  operands: ["domain"],
  flags: {
    undo: { type: "boolean", help: "Take the evacuation back" },
    log: LOG_FLAG,
    operator: OPERATOR_FLAG,
  },
  example: "lycheepulley evacuate poblado --log http://127.0.0.1:7000 --operator ines",
  run: (ctx) =>
    withSession(ctx, async ({ proposer }) => {
      const [domain = ""] = ctx.args;
      const isEnd = ctx.getBoolean("undo");
      const isEvacuated = getEvacuatedDomains(proposer.reader.fold).some(
        (evacuated) => evacuated.domain === domain,
      );
      if (isEvacuated !== isEnd) {
        ctx.print(`${domain} is ${isEnd ? "not evacuated" : "evacuated already"}`);
        return isEnd ? ExitCode.Failed : ExitCode.Done;
      }
      const body: EvacuationBody = {
        action: isEnd ? "take back" : "evacuate",
        by: ctx.getString("operator"),
      };
      await proposer.propose(
        { kind: RecordKind.Evacuation, key: domain, follows: null, body },
        { timeoutMs: PROPOSE_TIMEOUT_MS },
      );
      ctx.print(`${isEnd ? "took back the evacuation of" : "evacuated"} ${domain}`);
      return ExitCode.Done;
    }),
};

/** Lists the failure domains that are evacuated. */
export const evacuationsCommand: Command = {
  name: "evacuations",
  summary: "List evacuated failure domains",
  flags: { log: LOG_FLAG, json: JSON_FLAG },
  example: "lycheepulley evacuations --log http://127.0.0.1:7000",
  run: (ctx) =>
    withSession(ctx, ({ proposer }) => {
      const rows = getEvacuatedDomains(proposer.reader.fold).map(
        ({ domain, by, version, sinceMs }) => ({
          ...{ domain, by, version, since: new Date(sinceMs).toISOString() },
        }),
      );
      if (ctx.getBoolean("json")) {
        ctx.printJson(rows);
      } else {
        ctx.print(
          formatTable(
            ["domain", "by", "version", "since"],
            rows.map((row) => [row.domain, row.by, String(row.version), row.since]),
          ),
        );
      }
      return Promise.resolve(ExitCode.Done);
    }),
};
