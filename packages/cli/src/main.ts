import { getMessage } from "@lycheepulley/core";
import { SettingsError } from "@lycheepulley/daemon";
import meow from "meow";

import { ExitCode, UsageError, type Command, type CommandContext } from "./Command.js";
import { COMMANDS } from "./registry.js";

const COMMAND_WIDTH = 18;
const FLAG_WIDTH = 22;

const toKebab = (flag: string): string => flag.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);

const findCommand = (words: readonly string[]): Command | undefined =>
  COMMANDS.filter((command) => command.name.split(" ").every((word, i) => words[i] === word)).sort(
    (a, b) => b.name.length - a.name.length,
  )[0];

const getOverview = (): string =>
  [
    "Usage",
    "  $ lycheepulley <command> [flags]",
    "",
    "Commands",
    ...COMMANDS.map((c) => `  ${c.name.padEnd(COMMAND_WIDTH)}${c.summary}`),
    "",
    "Exit codes: 0 done, 1 refused or failed, 2 usage or invalid input.",
    "Example: lycheepulley demo",
  ].join("\n");

const getHelp = (command: Command): string =>
  [
    "Usage",
    `  $ lycheepulley ${[command.name, ...(command.operands ?? []).map((o) => `<${o}>`)].join(" ")} [flags]`,
    "",
    `  ${command.summary}`,
    "",
    "Flags",
    ...Object.entries(command.flags).map(([flag, { help, isRequired, default: preset }]) => {
      const note = isRequired ? " (required)" : preset === undefined ? "" : ` (${String(preset)})`;
      return `  ${`--${toKebab(flag)}`.padEnd(FLAG_WIDTH)}${help}${note}`;
    }),
    "",
    "Example",
    `  $ ${command.example}`,
  ].join("\n");

const newContext = (
  args: readonly string[],
  flags: Readonly<Record<string, unknown>>,
): CommandContext => ({
  args,
  getString: (flag) => {
    const value = flags[flag];
    if (typeof value !== "string" || value === "") {
      throw new UsageError(`--${toKebab(flag)} is required`);
    }
    return value;
  },
  getOptional: (flag) => (typeof flags[flag] === "string" ? flags[flag] : undefined),
  getNumber: (flag) => {
    const value = flags[flag];
    if (typeof value !== "number" || !Number.isFinite(value)) {
      throw new UsageError(`--${toKebab(flag)} must be a number`);
    }
    return value;
  },
  getBoolean: (flag) => flags[flag] === true,
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  printJson: (value) => {
    process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  },
});

const toMeowFlags = (
  command: Command,
): Record<string, { type: "string" | "boolean" | "number"; default?: never }> =>
  Object.fromEntries(
    Object.entries(command.flags).map(([flag, { type, default: preset }]) => [
      flag,
      { type, ...(preset === undefined ? {} : { default: preset as never }) },
    ]),
  );

const run = async (argv: readonly string[]): Promise<ExitCode> => {
  const command = findCommand(argv);
  const cli = meow(command ? getHelp(command) : getOverview(), {
    importMeta: import.meta,
    argv: [...argv],
    description: "lycheepulley: a serving layer for prompts of very unlike lengths",
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
