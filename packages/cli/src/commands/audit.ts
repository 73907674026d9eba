import { readControlHistory, type AuditLine } from "@lycheepulley/operators";

import { ExitCode, type Command, type CommandContext } from "../Command.js";
import { JSON_FLAG, LOG_FLAG, withSession } from "../flags.js";
import { formatTable } from "../table.js";

const printAuditLines = (ctx: CommandContext, lines: readonly AuditLine[]): void => {
  if (ctx.getBoolean("json")) {
    ctx.printJson(lines);
    return;
  }
  ctx.print(
    formatTable(
      ["at", "who", "action", "subject", "revision", "outcome"],
      lines.map(({ at, writer, action, subject, revision, outcome }) => [
        at,
        writer,
        action,
        subject,
        String(revision),
        outcome,
      ]),
    ),
  );
};

/** Lists the audit trail: every change that the log still retains. */
export const auditCommand: Command = {
  name: "audit",
  summary: "List changes of configuration, leases, blocks, orders and drains",
  flags: {
    log: LOG_FLAG,
    renewals: { type: "boolean", help: "Include lease renewals" },
    json: JSON_FLAG,
  },
  example: "lycheepulley audit --log http://127.0.0.1:7000",
  run: (ctx) =>
    withSession(ctx, async (session) => {
      const lines = await readControlHistory(session.log);
      const isListed = ({ action }: AuditLine): boolean =>
        ctx.getBoolean("renewals") || action !== "renew";
      printAuditLines(ctx, lines.filter(isListed));
      return ExitCode.Done;
    }),
};

/** Lists accepted and rejected changes of the configuration. */
export const configHistoryCommand: Command = {
  name: "config history",
  summary: "List accepted and rejected changes of configuration",
  flags: { log: LOG_FLAG, json: JSON_FLAG },
  example: "lycheepulley config history --log http://127.0.0.1:7000",
  run: (ctx) =>
    withSession(ctx, async (session) => {
      const lines = await readControlHistory(session.log);
      printAuditLines(
        ctx,
        lines.filter(({ subject }) => subject.startsWith("config ")),
      );
      return ExitCode.Done;
    }),
};
