import { newBoundedLogger } from "../BoundedLogger.js";

const LINES = 1_800;
const PAD = "x".repeat(200);
const DRAIN_MS = 200;
const FLOODED_MS = 300;

// A process that logs more than its output takes, and then exits.
const logger = newBoundedLogger({ process: "exit", level: "info" });
for (let line = 0; line < LINES; line++) {
  logger.info("line", { line, pad: PAD });
}
setTimeout(() => {
  void logger.drain(DRAIN_MS).then(() => process.exit(0));
}, FLOODED_MS);
