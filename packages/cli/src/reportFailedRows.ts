import { ExitCode, type CommandContext } from "./Command.js";

/** Names the requests of a demonstration that didn't end as promised, and returns the exit code. */
export const reportFailedRows = (
  rows: readonly { readonly name: string; readonly status: number; readonly detail: string }[],
  ctx: Pick<CommandContext, "printError">,
): ExitCode => {
  for (const { name, status, detail } of rows) {
    ctx.printError(`not as promised: ${name}, status ${String(status)}, ${detail}`);
  }
  return rows.length > 0 ? ExitCode.Failed : ExitCode.Done;
};
