export * from "./Logger.js";
export * from "./Metrics.js";
export * from "./ForwardMetrics.js";
export * from "./BoundedLogger.js";
export * from "./OverloadMetrics.js";
export * from "./requestTimeline.js";
export type { RoomMetrics } from "./roomMetrics.js";
export * from "./AnswerCosts.js";
export * from "./ProcessStrain.js";
