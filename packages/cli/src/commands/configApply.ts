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
const POLL_INTERVAL_MS = 100;

/** Reads a base file and overlay files, each of which is named after its site. */
export const readBundle = async (base: string, overlays: string): Promise<ConfigBundle> => {
  const overlaysBySite: Record<string, ConfigBundle["base"]> = {};
  for (const file of overlays.split(",").filter((name) => name !== "")) {
    overlaysBySite[basename(file, ".json")] = await readJsonFile(file);
  }
  return { base: await readJsonFile(base), overlays: overlaysBySite };
};

/** Publishes a configuration and waits until it is in force at every process. */
export const configApplyCommand: Command = {
  name: "config apply",
  summary: "Publish a configuration and wait until it is in force everywhere",
  flags: {
    base: { type: "string", help: "Base file", isRequired: true },
    overlays: { type: "string", help: "Overlay files, separated by commas", default: "" },
    follows: { type: "string", help: "Revision that the change is based on (default: the newest)" },
    changeId: { type: "string", help: "Id of the change, by which a repeated call recognises it" },
    note: { type: "string", help: "Reason for the audit trail", default: "" },
    force: { type: "boolean", help: "Apply even if a model would have too few engines" },
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
  const models = await findUnderprovisioned(session, inspector, bundle);
  if (models.length > 0 && !ctx.getBoolean("force")) {
    ctx.print(`rejected: too few engines for ${models.join(", ")}; use --force to apply it anyway`);
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
  const author = winner ? `${winner.by} (${winner.changeId}: ${winner.note})` : "another operator";
  return `conflict: revision ${String(revision)} by ${author} was accepted first`;
};

/** The current configuration, if an earlier call with this change id published it. */
const findChange = (
  session: OperatorSession,
  changeId: string,
): { accepted: true; revision: number; digest: string } | undefined => {
  const current = readConfigRegister(session.config.current);
  return current?.body.changeId === changeId
    ? { accepted: true, revision: current.revision, digest: current.digest }
    : undefined;
};

/** Models that would have too few engines at any site, counting the engines in service now. */
const findUnderprovisioned = async (
  session: OperatorSession,
  inspector: NodeInspector,
  bundle: ConfigBundle,
): Promise<string[]> => {
  const upstreams = await inspector.listUpstreams();
  const enginesByPool: Record<string, number> = {};
  for (const { pool, health, isLeaving } of upstreams) {
    const isServing = health !== "dead" && !isLeaving;
    enginesByPool[pool] = (enginesByPool[pool] ?? 0) + (isServing ? 1 : 0);
  }
  const current = readConfigRegister(session.config.current);
  const before = current ? getEffective(current.body, "")?.models : undefined;
  const sites = ["", ...Object.keys(bundle.overlays)];
  const models = sites.flatMap((site) => {
    const after = getEffective(bundle, site);
    return after
      ? findUnderprovisionedModels(before ?? {}, after.models, after.classes, enginesByPool)
      : [];
  });
  return [...new Set(models)];
};

/** Configuration of a site after its overlay; undefined if it is invalid. */
const getEffective = (bundle: ConfigBundle, site: string): FleetConfig | undefined => {
  const effective = getSiteConfig(bundle, site);
  return effective.ok ? effective.config : undefined;
};

/** Waits until every process has the revision in force, or the time-out; prints the result. */
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
    isInForce = nodes.every((node) => hasRevision(node, accepted.revision));
    if (!isInForce) {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
  const elapsedMs = Math.round(performance.now() - startMs);
  if (ctx.getBoolean("json")) {
    ctx.printJson({
      ...accepted,
      isInForce,
      afterMs: elapsedMs,
      nodes: nodes.map(toRevisionReport),
    });
  } else {
    ctx.print(`accepted as revision ${String(accepted.revision)}, digest ${accepted.digest}`);
    ctx.print(formatRevisions(nodes, accepted.revision));
    ctx.print(
      isInForce ? `in force everywhere after ${String(elapsedMs)} ms` : "not in force everywhere",
    );
  }
  return isInForce ? ExitCode.Done : ExitCode.Failed;
};

const hasRevision = ({ status }: InspectedNode, revision: number): boolean =>
  (status?.report.configRevision ?? 0) >= revision;

const toRevisionReport = ({ name, status, error }: InspectedNode): Record<string, unknown> => ({
  name,
  revision: status?.report.configRevision ?? null,
  digest: status?.report.configDigest ?? null,
  error: error ?? null,
});

/** Formats the revision of each process; a process with one below `newest` is behind. */
export const formatRevisions = (nodes: readonly InspectedNode[], newest: number): string =>
  formatTable(
    ["process", "state", "revision", "digest", ""],
    nodes.map((node) => [
      node.name,
      node.state,
      String(node.status?.report.configRevision ?? "?"),
      node.status?.report.configDigest ?? "?",
      node.error ?? (hasRevision(node, newest) ? "in force" : "behind"),
    ]),
  );
