import { newBoundedLogger } from "../BoundedLogger.js";

const FLOOD_LINES = 5_000;
const PAD = "x".repeat(2_000);
const REPEAT_MS = 50;

const logger = newBoundedLogger({ process: "flood", level: "info" });
for (let line = 0; line < FLOOD_LINES; line++) {
  logger.info("flood", { line, pad: PAD });
}
process.stderr.write("flooded\n");
// The last line gets through once the reader reads and a new second has begun.
const timer = setInterval(() => {
  logger.info("last");
}, REPEAT_MS);
process.stdin.resume();
process.stdin.on("end", () => {
  clearInterval(timer);
});
