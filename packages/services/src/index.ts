export * from "./ServiceClient.js";
