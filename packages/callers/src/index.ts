export * from "./CallerServer.js";
export * from "./errorAnswer.js";
export * from "./types.js";
export * from "./forward/ForwardServer.js";
