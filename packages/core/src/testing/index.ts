export * from "./answers.js";
export * from "./RawServer.js";
export * from "./testAnswers.js";
