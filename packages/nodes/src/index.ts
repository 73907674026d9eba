export * from "./DatagramChannel.js";
export * from "./methods.js";
export * from "./NodeClient.js";
export * from "./NodeServer.js";
export * from "./rpc.js";
export * from "./openRelay.js";
export * from "./RelayServer.js";
