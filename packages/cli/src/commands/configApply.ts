import { randomUUID } from "node:crypto";
import { basename } from "node:path";

import {
  checkBundle,
  findUnderprovisionedModels,
  getSiteConfig,
  type ConfigBundle,
  type FleetConfig,
} from "@lycheepulley/core";
import { readJsonFile } from "@lycheepulley/daemon";
import {
  NodeInspector,
  readConfigRegister,
  type InspectedNode,
  type OperatorSession,
} from "@lycheepulley/operators";

import type { ConfigBody } from "@lycheepulley/serving";

import { ExitCode, type Command, type CommandContext } from "../Command.js";
import {
  CONTROL_FLAG,
  getOrigin,
  JSON_FLAG,
  LOG_FLAG,
  OPERATOR_FLAG,
  withSession,
} from "../flags.js";
import { formatTable } from "../table.js";

const IN_FORCE_TIMEOUT_MS = 10_000;
const POLL_MS = 100;

/** Reads a base file and the overlays named after their sites. */
export const readBundle = async (base: string, overlays: string): Promise<ConfigBundle> => {
  const bySite: Record<string, ConfigBundle["base"]> = {};
  for (const file of overlays.split(",").filter((name) => name !== "")) {
    bySite[basename(file, ".json")] = await readJsonFile(file);
  }
  return { base: await readJsonFile(base), overlays: bySite };
};

/** Publishes a configuration and waits until every process has it in force. */
export const configApplyCommand: Command = {
  name: "config apply",
  summary: "Publish a configuration and wait until it is in force everywhere",
  flags: {
    base: { type: "string", help: "Base file", isRequired: true },
    overlays: { type: "string", help: "Overlay files, separated by commas", default: "" },
    follows: { type: "string", help: "Revision that the change follows (the newest)" },
    changeId: { type: "string", help: "Id by which a lost answer can be asked about" },
    note: { type: "string", help: "Reason for the audit trail", default: "" },
    force: { type: "boolean", help: "Apply though a model would lose its last engine" },
    log: LOG_FLAG,
    control: CONTROL_FLAG,
    operator: OPERATOR_FLAG,
    json: JSON_FLAG,
  },
  example:
    "lycheepulley config apply --base base.json --overlays poblado.json --log http://127.0.0.1:7000 --control http://127.0.0.1:7201",
  run: async (ctx) => {
    const bundle = await readBundle(ctx.getString("base"), ctx.getOptional("overlays") ?? "");
    const faults = checkBundle(bundle);
    if (faults.length > 0) {
      faults.forEach(({ path, message }) => {
        ctx.print(`${path}: ${message}`);
      });
      return ExitCode.Usage;
    }
    return withSession(ctx, (session) => applyBundle(ctx, session, bundle));
  },
};

const applyBundle = async (
  ctx: CommandContext,
  session: OperatorSession,
  bundle: ConfigBundle,
): Promise<ExitCode> => {
  const inspector = new NodeInspector(getOrigin(ctx, "control"));
  const stranded = await findStranded(session, inspector, bundle);
  if (stranded.length > 0 && !ctx.getBoolean("force")) {
    ctx.print(`refused: no engine would be left for ${stranded.join(", ")}; --force applies it`);
    return ExitCode.Failed;
  }
  const changeId = ctx.getOptional("changeId") ?? randomUUID();
  const change = {
    bundle,
    changeId,
    follows: Number(ctx.getOptional("follows") ?? session.config.current?.version ?? 0),
    by: ctx.getString("operator"),
    note: ctx.getOptional("note") ?? "",
  };
  const result = findChange(session, changeId) ?? (await session.config.publish(change));
  if (!result.accepted) {
    ctx.print(describeConflict(result.revision, result.winner));
    return ExitCode.Failed;
  }
  return waitInForce(ctx, inspector, result);
};

const describeConflict = (revision: number, winner: ConfigBody | undefined): string => {
  const who = winner ? `${winner.by} (${winner.changeId}: ${winner.note})` : "another operator";
  return `conflict: revision ${String(revision)} by ${who} came first`;
};

/** A change that an earlier call with this id already made. */
const findChange = (
  session: OperatorSession,
  changeId: string,
): { accepted: true; revision: number; digest: string } | undefined => {
  const current = readConfigRegister(session.config.current);
  return current?.body.changeId === changeId
    ? { accepted: true, revision: current.revision, digest: current.digest }
    : undefined;
};

const findStranded = async (
  session: OperatorSession,
  inspector: NodeInspector,
  bundle: ConfigBundle,
): Promise<string[]> => {
  const upstreams = await inspector.listUpstreams();
  const enginesByPool: Record<string, number> = {};
  for (const { pool, health, isLeaving } of upstreams) {
    const serves = health !== "dead" && !isLeaving;
    enginesByPool[pool] = (enginesByPool[pool] ?? 0) + (serves ? 1 : 0);
  }
  const current = readConfigRegister(session.config.current);
  const before = current ? getEffective(current.body, "")?.models : undefined;
  const sites = ["", ...Object.keys(bundle.overlays)];
  const stranded = sites.flatMap((site) => {
    const after = getEffective(bundle, site);
    return after
      ? findUnderprovisionedModels(before ?? {}, after.models, after.classes, enginesByPool)
      : [];
  });
  return [...new Set(stranded)];
};

const getEffective = (bundle: ConfigBundle, site: string): FleetConfig | undefined => {
  const effective = getSiteConfig(bundle, site);
  return effective.ok ? effective.config : undefined;
};

const waitInForce = async (
  ctx: CommandContext,
  inspector: NodeInspector,
  accepted: { revision: number; digest: string },
): Promise<ExitCode> => {
  const startMs = performance.now();
  let nodes: InspectedNode[] = [];
  let isInForce = false;
  while (!isInForce && performance.now() - startMs < IN_FORCE_TIMEOUT_MS) {
    nodes = await inspector.inspectAll();
    isInForce = nodes.every((node) => isAt(node, accepted.revision));
    if (!isInForce) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }
  const afterMs = Math.round(performance.now() - startMs);
  if (ctx.getBoolean("json")) {
    ctx.printJson({ ...accepted, isInForce, afterMs, nodes: nodes.map(toRevision) });
  } else {
    ctx.print(`accepted as revision ${String(accepted.revision)}, digest ${accepted.digest}`);
    ctx.print(formatRevisions(nodes, accepted.revision));
    ctx.print(
      isInForce ? `in force everywhere after ${String(afterMs)} ms` : "not in force everywhere",
    );
  }
  return isInForce ? ExitCode.Done : ExitCode.Failed;
};

const isAt = ({ status }: InspectedNode, revision: number): boolean =>
  (status?.report.configRevision ?? 0) >= revision;

const toRevision = ({ name, status, error }: InspectedNode): Record<string, unknown> => ({
  name,
  revision: status?.report.configRevision ?? null,
  digest: status?.report.configDigest ?? null,
  error: error ?? null,
});

/** Table of each process's revision; those below `newest` are behind. */
export const formatRevisions = (nodes: readonly InspectedNode[], newest: number): string =>
  formatTable(
    ["process", "state", "revision", "digest", ""],
    nodes.map((node) => [
      node.name,
      node.state,
      String(node.status?.report.configRevision ?? "?"),
      node.status?.report.configDigest ?? "?",
      node.error ?? (isAt(node, newest) ? "in force" : "behind"),
    ]),
  );
