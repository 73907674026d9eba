import winston from "winston";

/** Fields of a log line besides its message. */
export interface LogFields {
  readonly requestId?: string;
  readonly step?: string;
  readonly peer?: string;
  readonly [field: string]: unknown;
}

/** Structured logger of one process. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Creates a logger that writes JSON lines to standard error. */
export const newLogger = (options: { process: string; level: string }): Logger => {
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: { process: options.process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] }),
    ],
  });
  // winston formats a line before it filters by level, so the level is checked first.
  const newMethod =
    (level: keyof Logger) =>
    (message: string, fields: LogFields = {}): void => {
      if (logger.isLevelEnabled(level)) {
        logger.log(level, message, fields);
      }
    };
  return {
    debug: newMethod("debug"),
    info: newMethod("info"),
    warn: newMethod("warn"),
    error: newMethod("error"),
  };
};

/** Creates a logger that discards every line. */
export const newSilentLogger = (): Logger => ({
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
});
