import { newBoundedLogger } from "../BoundedLogger.js";

/** Time for which the event loop doesn't turn between two lines. */
const STALL_MS = 50;

const logger = newBoundedLogger({ process: "killed", level: "info" });
const stall = (): void => {
  for (const endMs = performance.now() + STALL_MS; performance.now() < endMs;);
};

setTimeout(() => {
  logger.info("buffered");
  for (const count of [1, 2, 3]) {
    logger.error(`error ${String(count)}`);
    stall();
  }
  process.kill(process.pid, "SIGKILL");
}, STALL_MS);
