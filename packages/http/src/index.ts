export * from "./answerChecks.js";
export * from "./ConnectionEnd.js";
export * from "./ConnectionQueue.js";
export * from "./HttpPeer.js";
export * from "./HttpServer.js";
export * from "./readBytes.js";
export * from "./readEnd.js";
export * from "./keepReading.js";
