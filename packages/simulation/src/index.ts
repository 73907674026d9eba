export * from "./callExperiment.js";
export * from "./costPolicies.js";
export * from "./experiment.js";
export * from "./pattern.js";
export * from "./patterns.js";
export * from "./sampleSpec.js";
export type { RequestRecord } from "./SimulatedCaller.js";
export * from "./SimulatedClock.js";
export * from "./WorkerModel.js";
