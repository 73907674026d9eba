import type { WorkerSpec } from "./WorkerModel.js";

/** Speed and memory of a worker in tests. */
export const SAMPLE_SPEC: WorkerSpec = {
  slots: 11,
  kvTokens: 232_000,
  stepsPerPass: 43,
  stepMs: 1.02,
  stepMsPerSequence: 0.0033,
  stepMsPerThousandContext: 0.00431,
  readTokensPerMs: 206,
  msPerMillionPairs: 0.138,
  hopMs: 0.075,
  chunkTokens: 2_048,
  queueSlots: 0,
};
