export * from "./demo/demo.js";
export * from "./fleet/ChildProcess.js";
export * from "./fleet/deployment.js";
export * from "./fleet/LocalFleet.js";
export * from "./load/httpLoad.js";
export * from "./overhead/overhead.js";
