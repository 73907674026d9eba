import { NodeInspector } from "@lycheepulley/operators";

import { ExitCode, type Command } from "../Command.js";
import { CONTROL_FLAG, getOrigin, JSON_FLAG, OPERATOR_FLAG } from "../flags.js";
import { formatTable } from "../table.js";

const BYTES_PER_MB = 1_000_000;

/** Lists the entry processes with their states, duties and pools. */
export const nodesCommand: Command = {
  name: "nodes",
  summary: "List entry processes, their states and duties",
  flags: { control: CONTROL_FLAG, json: JSON_FLAG },
  example: "lycheepulley nodes --control http://127.0.0.1:7201",
  run: async (ctx) => {
    const nodes = await new NodeInspector(getOrigin(ctx, "control")).inspectAll();
    if (ctx.getBoolean("json")) {
      ctx.printJson(nodes);
      return ExitCode.Done;
    }
    ctx.print(
      formatTable(
        ["process", "domain", "state", "duties", "pools", "MB"],
        nodes.map(({ name, failureDomain, state, status, error }) => [
          name,
          failureDomain,
          state,
          status?.duties.map(({ duty, epoch }) => `${duty}#${String(epoch)}`).join(" ") ??
            error ??
            "",
          status?.pools.join(" ") ?? "",
          String(Math.round((status?.rssBytes ?? 0) / BYTES_PER_MB)),
        ]),
      ),
    );
    return ExitCode.Done;
  },
};

/** Lists the engines as reported by the owners of their pools. */
export const upstreamsCommand: Command = {
  name: "upstreams",
  summary: "List engines as reported by the owners of their pools",
  flags: { control: CONTROL_FLAG, json: JSON_FLAG },
  example: "lycheepulley upstreams --control http://127.0.0.1:7201",
  run: async (ctx) => {
    const upstreams = await new NodeInspector(getOrigin(ctx, "control")).listUpstreams();
    if (ctx.getBoolean("json")) {
      ctx.printJson(upstreams);
      return ExitCode.Done;
    }
    ctx.print(
      formatTable(
        ["engine", "pool", "domain", "health", "leaving", "model", "requests", "tokens"],
        upstreams.map((upstream) => [
          upstream.engine,
          upstream.pool,
          upstream.failureDomain,
          upstream.health,
          upstream.isLeaving ? "yes" : "no",
          upstream.model,
          String(upstream.requests),
          String(upstream.outstandingTokens),
        ]),
      ),
    );
    return ExitCode.Done;
  },
};

/** Drains one entry process. */
export const drainCommand: Command = {
  name: "drain",
  summary: "Drain one entry process",
  flags: { control: CONTROL_FLAG, operator: OPERATOR_FLAG },
  example: "lycheepulley drain --control http://127.0.0.1:7201",
  run: async (ctx) => {
    const inspector = new NodeInspector(getOrigin(ctx, "control"));
    const isAccepted = await inspector.drain(ctx.getString("operator"));
    ctx.print(isAccepted ? "draining; the process exits once its requests have ended" : "refused");
    return isAccepted ? ExitCode.Done : ExitCode.Failed;
  },
};
