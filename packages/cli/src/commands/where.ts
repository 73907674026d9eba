import { readFile } from "node:fs/promises";

import {
  explainPlacement,
  whereAnswerSchema,
  whereMethod,
  type PlacementExplanation,
  type WhereAnswer,
} from "@lycheepulley/daemon";
import { NodeClient } from "@lycheepulley/nodes";
import { z } from "zod";

import { ExitCode, UsageError, type Command, type CommandContext } from "../Command.js";
import { getOrigin, JSON_FLAG } from "../flags.js";
import { formatTable } from "../table.js";

const TIMEOUT_MS = 2_000;
const UNKNOWN = "-";

const fetchAnswer = async (ctx: CommandContext): Promise<WhereAnswer> => {
  const origin = getOrigin(ctx, "node");
  const client = new NodeClient({ name: origin, origin });
  const hint = ctx.getNumber("hint");
  const request = {
    ...{ route: ctx.getString("route"), customer: ctx.getOptional("customer") },
    ...{ promptTokens: ctx.getNumber("prompt"), outputTokens: ctx.getNumber("answer") },
    ...(hint > 0 && { outputHint: hint }),
  };
  try {
    return await client.call(whereMethod, request, { timeoutMs: TIMEOUT_MS });
  } finally {
    await client.close();
  }
};

const readSnapshot = async (file: string): Promise<WhereAnswer> => {
  const read = whereAnswerSchema.safeParse(JSON.parse(await readFile(file, "utf8")));
  if (!read.success) {
    throw new UsageError(`--snapshot: ${file} is no snapshot: ${z.prettifyError(read.error)}`);
  }
  return read.data;
};

/** Explains where a request would go now. */
export const whereCommand: Command = {
  name: "where",
  summary: "Explain where a request would go now, without sending it",
  flags: {
    node: { type: "string", help: "Origin of the peer port of an entry process" },
    route: { type: "string", help: "Name of the request's route" },
    customer: { type: "string", help: "Name of the customer" },
    prompt: { type: "number", help: "Tokens of the prompt, 0 for a call", default: 0 },
    answer: { type: "number", help: "Most tokens of the answer", default: 0 },
    hint: { type: "number", help: "The caller's estimate of the answer's tokens", default: 0 },
    domain: { type: "string", help: "Failure domain of the caller, to mark its upstreams" },
    snapshot: { type: "string", help: "File with the answer of --save, in place of a process" },
    save: { type: "boolean", help: "Print what --snapshot reads" },
    json: JSON_FLAG,
  },
  example:
    "lycheepulley where --node http://10.1.0.40:7340 --route chat --prompt 5000 --answer 900",
  run: async (ctx) => {
    const file = ctx.getOptional("snapshot");
    const answer = file === undefined ? await fetchAnswer(ctx) : await readSnapshot(file);
    const explanation = explainPlacement(answer.snapshot);
    if (ctx.getBoolean("save")) {
      ctx.printJson(answer);
    } else if (ctx.getBoolean("json")) {
      ctx.printJson({ ...explanation, process: answer.process, errors: answer.errors });
    } else {
      printExplanation(ctx, answer, explanation);
    }
    return ExitCode.Done;
  },
};

const formatMs = (ms: number | undefined): string =>
  ms === undefined ? UNKNOWN : `${String(Math.round(ms))} ms`;

const describe = (found: PlacementExplanation): string => {
  const { verdict, upstream = UNKNOWN, helpers, retryAfterMs, isRoomKept, wait } = found;
  const kept = isRoomKept ? ", until when its room is kept" : "";
  switch (verdict) {
    case "sent": {
      const expectedMs = found.firstEventMs ?? found.callMs;
      const helped = helpers.length > 0 ? ` with the helpers ${helpers.join(", ")}` : "";
      const expected = expectedMs === undefined ? "" : `; expected after ${formatMs(expectedMs)}`;
      return `goes to ${upstream}${helped}${expected}`;
    }
    case "waits":
      return wait
        ? `waits for memory, ${describeWait(wait)}`
        : "waits until upstreams have the memory or its time is over; room isn't promised here";
    case "waits_for_quota":
      return `waits ${formatMs(found.quotaInMs)} until an upstream takes another request`;
    default:
      return `is rejected (${verdict}); Retry-After ${isRoomKept ? "" : "from "}${formatMs(retryAfterMs)}${kept}`;
  }
};

const describeWait = (wait: NonNullable<PlacementExplanation["wait"]>): string => {
  const { place, behind, roomMs, firstEventMs, upstreams, isPromised, unknownForMs } = wait;
  const before = behind.map((other) => `${other.id} (place ${String(other.place)})`).join(", ");
  const queue = `at place ${String(place)}${before === "" ? "" : ` behind ${before}`}`;
  if (roomMs === undefined) {
    const until =
      unknownForMs === undefined
        ? ""
        : `, and is rejected (no_room) if it isn't after ${formatMs(unknownForMs)}`;
    return `${queue}; it isn't known when there is room${until}`;
  }
  const on = `${formatMs(roomMs)} on ${upstreams.join(", ")}`;
  return `${queue}; ${isPromised ? "promised" : "expects"} room in ${on}, first event after ${formatMs(firstEventMs)}`;
};

const formatCandidates = (
  candidates: PlacementExplanation["candidates"],
  domain: string | undefined,
): string =>
  formatTable(
    ["upstream", "domain", "requests", "pace", "prefill", "work left", "first event", "cost"],
    candidates.map((found) => [
      found.upstream,
      found.failureDomain === domain ? `${domain} (caller)` : found.failureDomain,
      `${String(found.inFlight)}/${String(found.slots)}`,
      found.pace.toFixed(2) + (found.paceSeen ? ` of ${found.paceSeen.toFixed(1)}` : ""),
      formatMs(found.pendingReadMs),
      formatMs(found.remainingMs) + (found.unknown > 0 ? ` + ${String(found.unknown)}?` : ""),
      ...[formatMs(found.firstEventMs), found.cost?.toFixed(2) ?? "no memory"],
    ]),
  );

const printExplanation = (
  ctx: CommandContext,
  { process, listAgeMs, revision, errors, snapshot }: WhereAnswer,
  explanation: PlacementExplanation,
): void => {
  const { candidates, ruledOut, answerTokens } = explanation;
  ctx.print(`The request ${describe(explanation)}.`);
  if (explanation.isOwnerUnasked) {
    ctx.print("A limit applies there: the owner of the quota wasn't asked, and may refuse.");
  }
  ctx.print(
    `Asked ${process}; configuration ${String(revision)}, upstream list ${formatMs(listAgeMs)} old, load of peers up to ${formatMs(snapshot.loadAgeMs)}` +
      (answerTokens === undefined ? "" : `, ${String(answerTokens)} tokens of answer expected`),
  );
  if (candidates.length > 0) {
    ctx.print(formatCandidates(candidates, ctx.getOptional("domain")));
  }
  ruledOut.forEach(({ upstream, reason }) => {
    ctx.print(`Not considered: ${upstream} (${reason})`);
  });
  errors.forEach(({ kind, count, p50, p95 }) => {
    const [half, most] = [p50.toFixed(2), p95.toFixed(2)];
    ctx.print(`Estimates of ${kind}: off by ${half} (p50), ${most} (p95) in ${String(count)}`);
  });
};
