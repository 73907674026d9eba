export * from "./Logger.js";
export * from "./Metrics.js";
