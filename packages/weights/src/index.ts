export * from "./WeightStoreClient.js";
