export * from "./HttpUpstreamTransport.js";
