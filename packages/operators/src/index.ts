export * from "./ConfigPublisher.js";
export * from "./ControlHistory.js";
export * from "./NodeInspector.js";
export * from "./OperatorSession.js";
