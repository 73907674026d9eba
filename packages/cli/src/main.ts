import { getMessage } from "@lycheepulley/core";
import { SettingsError } from "@lycheepulley/daemon";
import meow from "meow";

import { ExitCode, UsageError, type Command, type CommandContext } from "./Command.js";
import { COMMANDS } from "./registry.js";

const COMMAND_COLUMN_CHARS = 18;
const FLAG_COLUMN_CHARS = 22;

/** Converts a flag's name to the spelling of the command line, e.g. `--time-scale`. */
const toKebabCase = (flag: string): string => flag.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);

/** Finds the command with the longest name that `words` begin with. */
const findCommand = (words: readonly string[]): Command | undefined =>
  COMMANDS.filter((command) => command.name.split(" ").every((word, i) => words[i] === word)).sort(
    (a, b) => b.name.length - a.name.length,
  )[0];

/** Help text that lists all commands. */
const getOverviewHelp = (): string =>
  [
    "Usage",
    "  $ lycheepulley <command> [flags]",
    "",
    "Commands",
    ...COMMANDS.map((c) => `  ${c.name.padEnd(COMMAND_COLUMN_CHARS)}${c.summary}`),
    "",
    "Exit codes: 0 done, 1 rejected or failed, 2 usage error or invalid input.",
    "Example: lycheepulley demo",
  ].join("\n");

/** Help text of one command. */
const getCommandHelp = (command: Command): string =>
  [
    "Usage",
    `  $ lycheepulley ${[command.name, ...(command.operands ?? []).map((o) => `<${o}>`)].join(" ")} [flags]`,
    "",
    `  ${command.summary}`,
    "",
    "Flags",
    ...Object.entries(command.flags).map(([flag, { help, isRequired, default: defaultValue }]) => {
      const suffix = isRequired
        ? " (required)"
        : defaultValue === undefined
          ? ""
          : ` (${String(defaultValue)})`;
      return `  ${`--${toKebabCase(flag)}`.padEnd(FLAG_COLUMN_CHARS)}${help}${suffix}`;
    }),
    "",
    "Example",
    `  $ ${command.example}`,
  ].join("\n");

/** Gives a command typed access to its arguments and flags. */
const newContext = (
  args: readonly string[],
  flags: Readonly<Record<string, unknown>>,
): CommandContext => ({
  args,
  getString: (flag) => {
    const value = flags[flag];
    if (typeof value !== "string" || value === "") {
      throw new UsageError(`--${toKebabCase(flag)} is required`);
    }
    return value;
  },
  getOptional: (flag) => (typeof flags[flag] === "string" ? flags[flag] : undefined),
  getNumber: (flag) => {
    const value = flags[flag];
    if (typeof value !== "number" || !Number.isFinite(value)) {
      throw new UsageError(`--${toKebabCase(flag)} must be a number`);
    }
    return value;
  },
  getBoolean: (flag) => flags[flag] === true,
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  printError: (line) => {
    process.stderr.write(`${line}\n`);
  },
  printJson: (value) => {
    process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  },
});

/** Converts flags to the options of the argument parser. */
const toMeowFlags = (
  command: Command,
): Record<string, { type: "string" | "boolean" | "number"; default?: never }> =>
  Object.fromEntries(
    Object.entries(command.flags).map(([flag, { type, default: defaultValue }]) => [
      flag,
      { type, ...(defaultValue === undefined ? {} : { default: defaultValue as never }) },
    ]),
  );

/** Parses the arguments and runs the command that they select. */
const run = async (argv: readonly string[]): Promise<ExitCode> => {
  const command = findCommand(argv);
  const cli = meow(command ? getCommandHelp(command) : getOverviewHelp(), {
    importMeta: import.meta,
    argv: [...argv],
    description: "lycheepulley: a serving layer for prompts of widely different lengths",
    flags: command ? toMeowFlags(command) : {},
    allowUnknownFlags: false,
  });
  if (!command) {
    const [word] = argv;
    process.stderr.write(
      word === undefined ? `${cli.help}\n` : `unknown command: ${word}\n${cli.help}\n`,
    );
    return ExitCode.Usage;
  }
  // meow shows help by itself only when it is the only argument.
  if (cli.flags["help"] === true) {
    process.stdout.write(`${cli.help}\n`);
    return ExitCode.Done;
  }
  const args = cli.input.slice(command.name.split(" ").length);
  const operands = command.operands ?? [];
  if (args.length < operands.length) {
    throw new UsageError(`<${operands[args.length] ?? ""}> is missing`);
  }
  return command.run(newContext(args, cli.flags));
};

try {
  process.exitCode = await run(process.argv.slice(2));
} catch (err) {
  if (err instanceof SettingsError) {
    err.faults.forEach((fault) => {
      process.stderr.write(`${err.file}: ${fault}\n`);
    });
    process.exitCode = ExitCode.Usage;
  } else {
    process.stderr.write(`${getMessage(err)}\n`);
    process.exitCode = err instanceof UsageError ? ExitCode.Usage : ExitCode.Failed;
  }
}
