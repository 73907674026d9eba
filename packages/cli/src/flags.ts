import { OperatorSession } from "@lycheepulley/operators";

import { UsageError, type CommandContext, type FlagSpec } from "./Command.js";

export const LOG_FLAG: FlagSpec = {
  type: "string",
  help: "Origin of the platform's log service",
  isRequired: true,
};

export const CONTROL_FLAG: FlagSpec = {
  type: "string",
  help: "Control origin of any entry process",
  isRequired: true,
};

export const JSON_FLAG: FlagSpec = { type: "boolean", help: "Print JSON" };

export const OPERATOR_FLAG: FlagSpec = {
  type: "string",
  help: "Name to record in the audit trail",
  default: "operator",
};

/** Reads a flag that must be an origin such as `http://127.0.0.1:7000`. */
export const getOrigin = (ctx: CommandContext, flag: string): string => {
  const value = ctx.getString(flag);
  if (!/^https?:\/\/[^/]+$/.test(value)) {
    throw new UsageError(`--${flag} must be an origin such as http://127.0.0.1:7000`);
  }
  return value;
};

/** Runs `use` with a connection to the log, and closes the connection afterwards. */
export const withSession = async <T>(
  ctx: CommandContext,
  use: (session: OperatorSession) => Promise<T>,
): Promise<T> => {
  const session = new OperatorSession({
    logOrigin: getOrigin(ctx, "log"),
    operator: ctx.getOptional("operator") ?? "operator",
  });
  await session.open();
  try {
    return await use(session);
  } finally {
    await session.close();
  }
};
