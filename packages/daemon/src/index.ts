export * from "./EntryNode.js";
export * from "./settings.js";
export * from "./gateway/GatewayNode.js";
export * from "./gateway/loadDecisions.js";
export * from "./gateway/PeerExchange.js";
export * from "./gateway/SourceFeed.js";
export * from "./gateway/types.js";
export * from "./gateway/whereMethod.js";
