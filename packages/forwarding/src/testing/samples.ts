import type { EngineSpec, FleetConfig, Route, Upstream } from "../fleetConfig.js";
import { DEFAULT_CALLER_LIMITS } from "../fleetConfig.js";
import { newUpstreamLoad, type LoadItem, type UpstreamLoad } from "../load.js";
import type { PlacementCandidate, PlacementRequest } from "../placement.js";

export const ENGINE: EngineSpec = {
  slots: 11,
  kvTokens: 232_000,
  stepsPerPass: 43,
  stepMs: 1.02,
  stepMsPerSequence: 0.0033,
  stepMsPerThousandContext: 0.00431,
  readTokensPerMs: 206,
  msPerMillionPairs: 0.138,
  hopMs: 0.075,
};

export const newRoute = (fields: Partial<Route> = {}): Route => ({
  name: "r",
  host: "a.example",
  pathPrefix: "/a/",
  repeat: "at_most_once",
  isStream: false,
  isResumable: false,
  timeoutMs: 10_000,
  targetMs: 300,
  priority: 1,
  pools: [{ pool: "p", weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  ...fields,
});

export const newConfig = (fields: Partial<FleetConfig> = {}): FleetConfig => ({
  revision: 1,
  routes: [newRoute()],
  pools: [{ name: "p", engine: ENGINE }],
  limits: DEFAULT_CALLER_LIMITS,
  ...fields,
});

export const newUpstream = (id: string, fields: Partial<Upstream> = {}): Upstream => ({
  id,
  pool: "p",
  host: "127.0.0.1",
  port: 1,
  failureDomain: "z",
  slots: ENGINE.slots,
  isLeaving: false,
  ...fields,
});

export const newItem = (id: string, fields: Partial<LoadItem> = {}): LoadItem => ({
  id,
  pool: "p",
  phase: "writing",
  upstream: "u0",
  helpers: [],
  readMs: 0,
  kvTokens: 0,
  heldTokens: [],
  maxGapMs: 250,
  targetLeftMs: 300,
  deadlineLeftMs: 9_000,
  value: 1.5,
  isLate: false,
  ...fields,
});

/** Candidates `u0`, `u1`, … with the given loads. */
export const newCandidates = (loads: readonly Partial<UpstreamLoad>[]): PlacementCandidate[] =>
  loads.map((load, index) => ({
    upstream: newUpstream(`u${String(index)}`),
    load: { ...newUpstreamLoad(), decoding: load.decodes?.length ?? 0, ...load },
    failureRate: 0,
    avoidance: 0,
  }));

export const newPrompt = (fields: Partial<PlacementRequest> = {}): PlacementRequest => ({
  promptTokens: 5_000,
  outputTokens: 1_300,
  maxGapMs: 250,
  shortGapMs: 500,
  targetLeftMs: 300,
  deadlineLeftMs: 9_000,
  value: 1.5,
  ...fields,
});
