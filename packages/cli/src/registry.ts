import type { Command } from "./Command.js";
import { configCheckCommand } from "./commands/configCheck.js";
import { demoCommand } from "./commands/demo.js";
import { entryCommand } from "./commands/entry.js";
import { standinCommand } from "./commands/standin.js";

/** Every command, in the order in which help lists them. */
export const COMMANDS: readonly Command[] = [
  entryCommand,
  configCheckCommand,
  standinCommand,
  demoCommand,
];
