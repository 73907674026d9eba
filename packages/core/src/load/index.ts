export * from "./AcceptRun.js";
export * from "./LoopTurns.js";
export * from "./OverloadControl.js";
export * from "./OverloadDetector.js";
export * from "./RejectionWindow.js";
