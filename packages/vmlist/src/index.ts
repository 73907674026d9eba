export * from "./VmListClient.js";
