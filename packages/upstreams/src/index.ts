export * from "./fetchStatus.js";
export * from "./HttpUpstreamTransport.js";
export * from "./TcpConnector.js";
