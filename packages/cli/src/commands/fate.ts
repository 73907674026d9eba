import { fateSchema, FateState, type Fate } from "@lycheepulley/core";
import { HttpPeer } from "@lycheepulley/http";

import { ExitCode, type Command } from "../Command.js";
import { getOrigin, JSON_FLAG } from "../flags.js";

const STATE_DESCRIPTIONS: Readonly<Record<FateState, string>> = {
  [FateState.Running]: "The request is still running.",
  [FateState.Finished]: "The request ran and its whole answer was sent.",
  [FateState.FailedMayHaveRun]: "The request failed after it reached an upstream; it may have run.",
  [FateState.NotRun]: "The request did not run.",
  [FateState.Unknown]: "The fate of the request is unknown.",
};

/** Shows the fate of one request: its final status, or that it is still running. */
export const fateCommand: Command = {
  name: "fate",
  summary: "Show the fate of one request",
  operands: ["request-id"],
  flags: {
    entry: {
      type: "string",
      help: "Origin at which any entry process serves callers",
      isRequired: true,
    },
    key: { type: "string", help: "API key of the request's customer", isRequired: true },
    json: JSON_FLAG,
  },
  example:
    "lycheepulley fate req_poblado-1.mx80wmzi.46w.1 --entry http://127.0.0.1:7101 --key key-nutibara",
  run: async (ctx) => {
    const [requestId = ""] = ctx.args;
    const origin = getOrigin(ctx, "entry");
    const peer = new HttpPeer({ name: origin, kind: "cli", origin });
    try {
      const fate = await peer.callJson(
        `/v1/requests/${encodeURIComponent(requestId)}`,
        fateSchema,
        { headers: { authorization: `Bearer ${ctx.getString("key")}` } },
      );
      if (ctx.getBoolean("json")) {
        ctx.printJson(fate);
      } else {
        describeFate(fate).forEach((line) => {
          ctx.print(line);
        });
      }
      return fate.state === FateState.Unknown ? ExitCode.Failed : ExitCode.Done;
    } finally {
      await peer.close();
    }
  },
};

const describeFate = (fate: Fate): string[] => [
  `${fate.requestId}: ${STATE_DESCRIPTIONS[fate.state]}`,
  `accepted ${new Date(fate.acceptedMs).toISOString()}, class ${fate.className || "-"}`,
  ...fate.steps.map(
    ([step, ms, detail]) => `  ${String(Math.round(ms)).padStart(8)} ms  ${step} ${detail}`,
  ),
  ...(fate.endedAfterMs === undefined
    ? []
    : [`ended after ${String(Math.round(fate.endedAfterMs))} ms`]),
  ...(fate.reason === undefined ? [] : [`reason: ${fate.reason}`]),
];
