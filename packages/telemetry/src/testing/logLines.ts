import { newBoundedLogger } from "../BoundedLogger.js";

const logger = newBoundedLogger({ process: "p", level: "info" });
const circular: Record<string, unknown> = {};
circular["self"] = circular;
logger.debug("below the level");
logger.info("whole", { step: "send" });
logger.error("circular", { circular });
