export * from "./HttpPeer.js";
export * from "./HttpServer.js";
