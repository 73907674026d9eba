export * from "./EngineClient.js";
export * from "./ExtendedEngineClient.js";
export * from "./PlainEngineClient.js";
export * from "./types.js";
