/** Exit codes of the commands. */
export const ExitCode = {
  Done: 0,
  /** Rejected, failed, or not in force in time. */
  Failed: 1,
  /** Usage error or invalid input. */
  Usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Type, help text and default of a flag. */
export interface FlagSpec {
  readonly type: "string" | "boolean" | "number";
  readonly help: string;
  readonly isRequired?: boolean;
  readonly default?: string | boolean | number;
}

/** Arguments, flags and output of one call of a command. */
export interface CommandContext {
  /** Positional arguments after the command's name. */
  readonly args: readonly string[];
  /** Value of a flag that must be given; throws a UsageError if it is missing or empty. */
  getString(flag: string): string;
  getOptional(flag: string): string | undefined;
  /** Value of a number flag; throws a UsageError if it is not a finite number. */
  getNumber(flag: string): number;
  getBoolean(flag: string): boolean;
  /** Prints a line of text to standard output. */
  print(line: string): void;
  /** Prints a line of text to standard error. */
  printError(line: string): void;
  /** Prints a value as JSON to standard output. */
  printJson(value: unknown): void;
}

/** A subcommand with its flags and help. */
export interface Command {
  /** Words that select the command, e.g. `config apply`. */
  readonly name: string;
  readonly summary: string;
  /** Names of the required positional arguments. */
  readonly operands?: readonly string[];
  readonly flags: Readonly<Record<string, FlagSpec>>;
  readonly example: string;
  run(ctx: CommandContext): Promise<ExitCode>;
}

/** Error for missing or invalid arguments; the process exits with {@link ExitCode.Usage}. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
