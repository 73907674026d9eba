export * from "./answers.js";
export * from "./RawServer.js";
export * from "./requests.js";
export * from "./testAnswers.js";
export * from "./testRequests.js";
export * from "./floods.js";
