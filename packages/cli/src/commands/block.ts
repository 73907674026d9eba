import {
  getSuspicion,
  PoisonAction,
  poisonStateSchema,
  RecordKind,
  Suspicion,
} from "@lycheepulley/core";

import { ExitCode, type Command } from "../Command.js";
import { JSON_FLAG, LOG_FLAG, OPERATOR_FLAG, withSession } from "../flags.js";
import { formatTable } from "../table.js";

const LIFT_TIMEOUT_MS = 10_000;

/** Lists fingerprints of requests that are suspected of crashing upstreams. */
export const blockListCommand: Command = {
  name: "block list",
  summary: "List suspect and blocked fingerprints",
  flags: { log: LOG_FLAG, json: JSON_FLAG },
  example: "lycheepulley block list --log http://127.0.0.1:7000",
  run: (ctx) =>
    withSession(ctx, (session) => {
      const registers = session.proposer.reader.fold.getRegistersOfKind(RecordKind.Poison);
      const rows = registers.flatMap(({ key, body, timeMs }) => {
        const state = poisonStateSchema.safeParse(body).data;
        const suspicion = getSuspicion(state?.strikes ?? 0);
        const since = new Date(timeMs).toISOString();
        return state && suspicion !== Suspicion.None
          ? [{ fingerprint: key, suspicion, upstreams: state.by, since }]
          : [];
      });
      if (ctx.getBoolean("json")) {
        ctx.printJson(rows);
      } else {
        ctx.print(
          formatTable(
            ["fingerprint", "state", "upstreams lost", "since"],
            rows.map((row) => [row.fingerprint, row.suspicion, row.upstreams.join(" "), row.since]),
          ),
        );
      }
      return Promise.resolve(ExitCode.Done);
    }),
};

/** Removes all strikes of a fingerprint, so that its requests run again. */
export const blockLiftCommand: Command = {
  name: "block lift",
  summary: "Lift the block on a fingerprint",
  operands: ["fingerprint"],
  flags: { log: LOG_FLAG, operator: OPERATOR_FLAG },
  example: "lycheepulley block lift 3f0c... --log http://127.0.0.1:7000 --operator ines",
  run: (ctx) =>
    withSession(ctx, async (session) => {
      const [fingerprint = ""] = ctx.args;
      const register = session.proposer.reader.fold.getRegister(RecordKind.Poison, fingerprint);
      if (!register) {
        ctx.print(`nothing is recorded for fingerprint ${fingerprint}`);
        return ExitCode.Failed;
      }
      await session.proposer.propose(
        {
          kind: RecordKind.Poison,
          key: fingerprint,
          follows: null,
          body: { action: PoisonAction.Lift, by: ctx.getString("operator") },
        },
        { timeoutMs: LIFT_TIMEOUT_MS },
      );
      ctx.print(`lifted the block on ${fingerprint}`);
      return ExitCode.Done;
    }),
};
