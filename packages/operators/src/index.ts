export * from "./ConfigPublisher.js";
export * from "./OperatorSession.js";
