import type { Command } from "./Command.js";
import { answerEndsCommand } from "./commands/answerEnds.js";
import { auditCommand, configHistoryCommand } from "./commands/audit.js";
import { benchCommand } from "./commands/bench.js";
import { blockLiftCommand, blockListCommand } from "./commands/block.js";
import { configApplyCommand } from "./commands/configApply.js";
import { configCheckCommand } from "./commands/configCheck.js";
import { configDiffCommand } from "./commands/configDiff.js";
import { configStatusCommand } from "./commands/configStatus.js";
import { demoCommand } from "./commands/demo.js";
import { entryCommand } from "./commands/entry.js";
import { evacuateCommand, evacuationsCommand } from "./commands/evacuate.js";
import { experimentCommand } from "./commands/experiment.js";
import { explainCommand } from "./commands/explain.js";
import { fateCommand } from "./commands/fate.js";
import { drainCommand, nodesCommand, upstreamsCommand } from "./commands/nodes.js";
import { overheadCommand } from "./commands/overhead.js";
import { overloadCommand } from "./commands/overload.js";
import { faultSoakCommand } from "./commands/faultSoak.js";
import { platformDemoCommand } from "./commands/platformDemo.js";
import { standinCommand } from "./commands/standin.js";
import { whereCommand } from "./commands/where.js";

/** All commands, in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  entryCommand,
  configCheckCommand,
  configDiffCommand,
  configApplyCommand,
  configStatusCommand,
  configHistoryCommand,
  fateCommand,
  explainCommand,
  whereCommand,
  auditCommand,
  nodesCommand,
  upstreamsCommand,
  drainCommand,
  evacuateCommand,
  evacuationsCommand,
  blockListCommand,
  blockLiftCommand,
  benchCommand,
  experimentCommand,
  demoCommand,
  faultSoakCommand,
  overloadCommand,
  answerEndsCommand,
  platformDemoCommand,
  overheadCommand,
  standinCommand,
];
