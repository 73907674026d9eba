export * from "./Poller.js";
export * from "./Publisher.js";
