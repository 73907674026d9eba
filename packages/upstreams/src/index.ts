export * from "./fetchAnswer.js";
export * from "./HttpUpstreamTransport.js";
export * from "./TcpConnector.js";
