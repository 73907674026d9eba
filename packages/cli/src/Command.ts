/** Exit codes of the command line. */
export const ExitCode = {
  Done: 0,
  /** Refused, failed, or not in force. */
  Failed: 1,
  /** Usage error or invalid input. */
  Usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** A flag of a command. */
export interface FlagSpec {
  readonly type: "string" | "boolean" | "number";
  readonly help: string;
  readonly isRequired?: boolean;
  readonly default?: string | boolean | number;
}

/** What a command gets to work with. */
export interface CommandContext {
  /** Words after the command's name. */
  readonly args: readonly string[];
  getString(flag: string): string;
  getOptional(flag: string): string | undefined;
  getNumber(flag: string): number;
  getBoolean(flag: string): boolean;
  /** Prints a line for people. */
  print(line: string): void;
  /** Prints a JSON value for programs. */
  printJson(value: unknown): void;
}

/** One command of the command line. */
export interface Command {
  /** Words that select the command, e.g. `config apply`. */
  readonly name: string;
  readonly summary: string;
  /** Names of the words after the command. */
  readonly operands?: readonly string[];
  readonly flags: Readonly<Record<string, FlagSpec>>;
  readonly example: string;
  run(ctx: CommandContext): Promise<ExitCode>;
}

/** Raised for a call of the command line that makes no sense. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
