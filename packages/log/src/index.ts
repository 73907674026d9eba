export * from "./FoldReader.js";
export * from "./HttpLogClient.js";
export * from "./LogClient.js";
export * from "./LogWriter.js";
export * from "./Proposer.js";
