import { newBoundedLogger } from "../BoundedLogger.js";

const FLOOD_LINES = 5_000;
const PAD = "x".repeat(2_000);
const REPEAT_MS = 50;

const logger = newBoundedLogger({ process: "flood", level: "info" });
for (let line = 0; line < FLOOD_LINES; line++) {
  logger.info("flood", { line, pad: PAD });
}
process.stderr.write("flooded\n");
// Repeated until the output is read and the rate limit of a new second lets the line through.
const timer = setInterval(() => {
  logger.info("last");
}, REPEAT_MS);
process.stdin.resume();
process.stdin.on("end", () => {
  clearInterval(timer);
});
