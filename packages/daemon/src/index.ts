export * from "./EntryNode.js";
export * from "./settings.js";
